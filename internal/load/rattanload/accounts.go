package rattanload

import (
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// accountPrefix begins the name of a client account's section.
const accountPrefix = "client_account."

// ParseAccounts reads client accounts from INI text with a section
// [client_account.NAME] for each. The keys of a section are key, rate and burst, and
// optionally send (requests per second, default 0.8 × rate). An error names the file,
// section and INI key, but never contains the secret key of a client account.
func ParseAccounts(file string, text []byte) ([]Account, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, text)
	if err != nil {
		// The library's error repeats the line, which may hold a secret key.
		return nil, errors.Errorf("%s: not an INI file", file)
	}
	var accounts []Account
	for _, section := range parsed.Sections() {
		name, ok := strings.CutPrefix(section.Name(), accountPrefix)
		if !ok {
			if len(section.Keys()) > 0 {
				return nil, errors.Errorf("%s: section [%s]: accepted is [%sNAME]", file, section.Name(), accountPrefix)
			}
			continue
		}
		account, err := parseAccount(name, section)
		if err != nil {
			return nil, errors.Wrapf(err, "%s: section [%s]", file, section.Name())
		}
		accounts = append(accounts, account)
	}
	if len(accounts) == 0 {
		return nil, errors.Errorf("%s: no section [%sNAME]", file, accountPrefix)
	}
	return accounts, nil
}

// defaultSendFraction is the fraction of its rate that a client account sends.
const defaultSendFraction = 0.8

func parseAccount(name string, section *ini.Section) (Account, error) {
	account := Account{Name: name}
	for _, key := range section.Keys() {
		var err error
		switch key.Name() {
		case "key":
			account.Key = key.Value()
		case "rate":
			account.Rate, err = key.Float64()
		case "burst":
			account.Burst, err = key.Float64()
		case "send":
			account.Send, err = key.Float64()
		default:
			return Account{}, errors.Errorf("key %q: accepted are key, rate, burst and send", key.Name())
		}
		if err != nil {
			return Account{}, errors.Errorf("key %s: accepted is a number", key.Name())
		}
	}
	if account.Send == 0 {
		account.Send = defaultSendFraction * account.Rate
	}
	if account.Key == "" || !account.valid() {
		return Account{}, errors.New("accepted are a key, rate and send over 0, and a burst of at least 1")
	}
	return account, nil
}
