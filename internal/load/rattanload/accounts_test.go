package rattanload

import (
	"strings"
	"testing"
)

// TestParseAccounts guards against the use of a part of a file that has a mistake, and
// against an error message that contains a secret key.
func TestParseAccounts(t *testing.T) {
	const secret = "rsk_k1_secret"
	accounts, err := ParseAccounts("keys.ini", []byte("[client_account.a]\nkey = "+secret+"\nrate = 10\nburst = 20\n"))
	if want := (Account{Name: "a", Key: secret, Rate: 10, Burst: 20, Send: 8}); err != nil || len(accounts) != 1 || accounts[0] != want {
		t.Fatalf("accounts %v, error %v, want %v", accounts, err, want)
	}
	for _, text := range []string{
		"",
		"[client_account.a]\nrate = 10\nburst = 20\n",
		"[client_account.a]\nkey = " + secret + "\nrate = x\nburst = 20\n",
		"[client_account.a]\nkey = " + secret + "\nrate = NaN\nburst = 20\n",
		"[client_account.a]\nkey = " + secret + "\nrate = 10\nburst = 20\nother = 1\n",
		"[other]\nkey = " + secret + "\n",
		"[client_account.a]\nkey " + secret + "\n",
	} {
		if _, err := ParseAccounts("keys.ini", []byte(text)); err == nil || strings.Contains(err.Error(), secret) {
			t.Errorf("error of %q is %v, want one without the secret key", text, err)
		}
	}
}
