package rattansettings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// namePattern matches valid names in the settings. Names do not contain "." and "/",
// which separate the parts of section names and full names, nor "_", which separates
// the parts of keys and credentials.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const acceptedName = `1 to 63 characters of "a" to "z", "0" to "9" and "-", not first "-"`

// IsName reports whether text is a valid name.
func IsName(text string) bool { return namePattern.MatchString(text) }

// A sectionReader reads the typed values of one section and collects validation
// errors. Each key that is read is recorded in acceptedKeys.
type sectionReader struct {
	path         string
	name         string
	values       map[string]string
	acceptedKeys []string
	errs         *[]ValidationError
}

func newSectionReader(path string, raw rawSection, errs *[]ValidationError) *sectionReader {
	values := make(map[string]string, len(raw.keys))
	for _, key := range raw.keys {
		values[key.name] = key.value
	}
	return &sectionReader{path: path, name: raw.name, values: values, errs: errs}
}

// addError adds a validation error of a key of the section. The error contains the
// key's value unless that is a secret.
func (r *sectionReader) addError(key, problem, accepted string) {
	value, found := r.values[key]
	isSecret := strings.HasSuffix(key, "_sha256") || strings.HasSuffix(key, "seal_key")
	validationErr := ValidationError{path: r.path, section: messageText(r.name), key: messageText(key), problem: problem, accepted: accepted}
	if found && !isSecret {
		validationErr.value, validationErr.hasValue = messageText(value), true
	}
	*r.errs = append(*r.errs, validationErr)
}

// addSectionError adds a validation error of the section itself.
func (r *sectionReader) addSectionError(problem, accepted string) {
	*r.errs = append(*r.errs, ValidationError{path: r.path, section: messageText(r.name), problem: problem, accepted: accepted})
}

// finish reports the keys of the section that were never read as unknown. The errors
// do not contain the values, which may be secrets under a mistyped name.
func (r *sectionReader) finish() {
	accepted := "the keys " + strings.Join(r.acceptedKeys, ", ")
	names := make([]string, 0, len(r.values))
	for name := range r.values {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if !slices.Contains(r.acceptedKeys, name) {
			*r.errs = append(*r.errs, ValidationError{
				path: r.path, section: messageText(r.name), key: messageText(name),
				problem: "unknown key", accepted: accepted,
			})
		}
	}
}

// text returns the value, and false when the key is missing or empty. If the key is
// required, a missing value is a validation error.
func (r *sectionReader) text(key string, required bool, accepted string) (string, bool) {
	r.acceptedKeys = append(r.acceptedKeys, key)
	value, found := r.values[key]
	if found && value != "" {
		return value, true
	}
	if required {
		r.addError(key, "a value is missing", accepted)
	}
	return "", false
}

func (r *sectionReader) nameValue(key string, required bool) string {
	value, found := r.text(key, required, acceptedName)
	if found && !IsName(value) {
		r.addError(key, "not a name", acceptedName)
		return ""
	}
	return value
}

// names reads a required list of names separated by commas.
func (r *sectionReader) names(key string, limit int) []string {
	accepted := fmt.Sprintf("1 to %d different names, separated by commas; a name has %s", limit, acceptedName)
	value, found := r.text(key, true, accepted)
	if !found {
		return nil
	}
	names := splitList(value)
	if len(names) > limit {
		r.addError(key, "too many names", accepted)
		return nil
	}
	for i, name := range names {
		switch {
		case !IsName(name):
			r.addError(key, fmt.Sprintf("%q is not a name", messageText(name)), accepted)
			return nil
		case slices.Contains(names[:i], name):
			r.addError(key, fmt.Sprintf("%q occurs twice", messageText(name)), accepted)
			return nil
		}
	}
	return names
}

func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

func (r *sectionReader) boolean(key string, fallback bool) bool {
	switch value, found := r.text(key, false, ""); {
	case !found:
		r.rejectEmpty(key, "true or false")
		return fallback
	case value == "true":
		return true
	case value == "false":
		return false
	default:
		r.addError(key, "not a boolean", "true or false")
		return fallback
	}
}

// rejectEmpty reports a key that is present without a value. Otherwise the default
// would silently apply.
func (r *sectionReader) rejectEmpty(key, accepted string) {
	if _, found := r.values[key]; found {
		r.addError(key, "a value is missing", accepted)
	}
}

func (r *sectionReader) choice(key, fallback string, choices ...string) string {
	accepted := strings.Join(choices, " or ")
	value, found := r.text(key, false, "")
	if !found {
		r.rejectEmpty(key, accepted)
		return fallback
	}
	if !slices.Contains(choices, value) {
		r.addError(key, "not one of the choices", accepted)
		return fallback
	}
	return value
}

// integer reads a whole number. The key is required if fallback is below low.
func (r *sectionReader) integer(key, unit string, low, high, fallback int) int {
	accepted := fmt.Sprintf("a whole number from %d to %d%s", low, high, unit)
	value, found := r.text(key, fallback < low, accepted)
	if !found {
		if fallback >= low {
			r.rejectEmpty(key, accepted)
		}
		return fallback
	}
	number, err := strconv.Atoi(value)
	switch {
	case err != nil:
		r.addError(key, "not a whole number", accepted)
		return fallback
	case number < low || number > high:
		r.addError(key, "out of range", accepted)
		return fallback
	}
	return number
}

// ratePattern excludes exponents, signs, NaN and infinities.
var ratePattern = regexp.MustCompile(`^[0-9]{1,7}(\.[0-9]{1,3})?$`)

// rate reads requests per second with up to three decimals and returns
// thousandths of a request per second.
func (r *sectionReader) rate(key string) int64 {
	const accepted = "a number from 0.001 to 1000000 requests/s with at most 3 decimals"
	value, found := r.text(key, true, accepted)
	if !found {
		return 0
	}
	if !ratePattern.MatchString(value) {
		r.addError(key, "not a rate", accepted)
		return 0
	}
	whole, decimals, _ := strings.Cut(value, ".")
	milli, err := strconv.ParseInt(whole+(decimals + "000")[:3], 10, 64)
	if err != nil || milli < 1 || milli > 1_000_000_000 {
		r.addError(key, "out of range", accepted)
		return 0
	}
	return milli
}

// coresPattern excludes exponents, signs, NaN and infinities.
var coresPattern = regexp.MustCompile(`^[0-9]{1,4}(\.[0-9]{1,6})?$`)

// cores reads a number of processor cores, with fallback when there is none.
func (r *sectionReader) cores(key string, fallback float64) float64 {
	const accepted = "a number of cores from 0.001 to 1024, such as 0.4"
	value, found := r.text(key, false, "")
	if !found {
		r.rejectEmpty(key, accepted)
		return fallback
	}
	if !coresPattern.MatchString(value) {
		r.addError(key, "not a number of cores", accepted)
		return fallback
	}
	cores, err := strconv.ParseFloat(value, 64)
	if err != nil || cores < 0.001 || cores > 1024 {
		r.addError(key, "out of range", accepted)
		return fallback
	}
	return cores
}

func (r *sectionReader) duration(key string, low, high, fallback time.Duration) time.Duration {
	accepted := fmt.Sprintf("a duration from %s to %s, such as 500ms or 2s", low, high)
	value, found := r.text(key, false, "")
	if !found {
		r.rejectEmpty(key, accepted)
		return fallback
	}
	d, err := time.ParseDuration(value)
	switch {
	case err != nil:
		r.addError(key, "not a duration", accepted)
		return fallback
	case d < low || d > high:
		r.addError(key, "out of range", accepted)
		return fallback
	}
	return d
}

const acceptedAddress = "an IP address and a port from 1 to 65535, such as 127.0.0.1:7001 or [::1]:7001"

func (r *sectionReader) address(key string, required bool) string {
	value, found := r.text(key, required, acceptedAddress)
	if !found {
		return ""
	}
	if !isAddress(value) {
		r.addError(key, "not an address", acceptedAddress)
		return ""
	}
	return value
}

// remoteAddress reads an address that other processes connect to.
func (r *sectionReader) remoteAddress(key string, required bool) string {
	value := r.address(key, required)
	if value == "" {
		return ""
	}
	if netip.MustParseAddrPort(value).Addr().IsUnspecified() {
		r.addError(key, "no process can connect to an unspecified address", acceptedAddress)
		return ""
	}
	return value
}

func (r *sectionReader) addresses(key string) []string {
	const accepted = "addresses separated by commas; each is " + acceptedAddress
	value, found := r.text(key, false, "")
	if !found {
		return nil
	}
	addresses := splitList(value)
	for _, address := range addresses {
		if !isAddress(address) {
			r.addError(key, fmt.Sprintf("%q is not an address", messageText(address)), accepted)
			return nil
		}
	}
	return addresses
}

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

func (r *sectionReader) hash(key string, required bool) Hash {
	const accepted = "64 hexadecimal digits"
	value, found := r.text(key, required, accepted)
	if !found {
		return Hash{}
	}
	hash, ok := parseHash(value)
	if !ok {
		r.addError(key, "not 64 hexadecimal digits", accepted)
	}
	return hash
}
