package rattancmd

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
)

// credentialBytes is the size of a credential's secret: 256 bits.
const credentialBytes = 32

// madeCredential is the output of "credential make".
type madeCredential struct {
	Team       string `json:"team"`
	Credential string `json:"credential"`
	// SHA256 is the value of credential_sha256 and bootstrap_credential_sha256.
	SHA256 string `json:"credential_sha256"`
}

func newCredentialCmd(c *config) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "credential",
		Short: "Make credentials of teams",
	}
	cmd.AddCommand(newCredentialMakeCmd(c))
	return cmd
}

func newCredentialMakeCmd(c *config) *cobra.Command {
	return &cobra.Command{
		Use:   "make TEAM",
		Short: "Make a credential and the hash that the settings need; nothing is stored",
		Args:  exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			team := args[0]
			if !rattansettings.IsName(team) {
				return usageErrorf("team %q: accepted are 1 to 63 characters of a to z, 0 to 9 and -, not first -", team)
			}
			made := makeCredential(team)
			if c.output == outputJSON {
				return c.printValue(made)
			}
			return c.printTable([]string{"CREDENTIAL", "CREDENTIAL_SHA256"}, [][]string{{made.Credential, made.SHA256}})
		},
	}
}

func makeCredential(team string) madeCredential {
	var random [credentialBytes]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never returns an error
	secret := hex.EncodeToString(random[:])
	return madeCredential{
		Team:       team,
		Credential: "rst_" + team + "_" + secret,
		SHA256:     rattansettings.HashSecret(secret).Hex(),
	}
}
