package rattancmd

import (
	"context"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// listedAccount is a client account in the output of "account list".
type listedAccount struct {
	ClientAccount string   `json:"client_account"`
	Rate          float64  `json:"rate"`
	Burst         int      `json:"burst"`
	Weight        int      `json:"weight"`
	Services      []string `json:"services"`
	// Keys counts the keys that are not withdrawn.
	Keys int `json:"keys"`
}

func newAccountListCmd(c *config) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the client accounts of the team with rate, burst and number of valid keys",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withOperator(cmd.Context(), func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
				stored, err := c.loadDocument(ctx, client)
				if err != nil {
					return err
				}
				document, err := rattansettings.ParseDocument(stored.GetTeam(), stored.GetIni())
				if err != nil {
					return invalidError{err}
				}
				return c.printAccounts(listAccounts(document))
			})
		},
	}
}

func listAccounts(document *rattansettings.Document) []listedAccount {
	accounts := []listedAccount{}
	for _, account := range rattansettings.NewSnapshot(document).ClientAccounts() {
		listed := listedAccount{
			ClientAccount: localName(account.Name()),
			Rate:          float64(account.RateMilli()) / 1000,
			Burst:         account.Burst(),
			Weight:        account.Weight(),
		}
		for _, service := range account.Services() {
			listed.Services = append(listed.Services, localName(service))
		}
		for _, key := range document.Keys() {
			if key.ClientAccount() == account.Name() && !key.Withdrawn() {
				listed.Keys++
			}
		}
		accounts = append(accounts, listed)
	}
	return accounts
}

// localName returns a full name without its team.
func localName(full string) string {
	_, name, _ := strings.Cut(full, "/")
	return name
}

func (c *config) printAccounts(accounts []listedAccount) error {
	if c.output == outputJSON {
		return c.printValue(map[string][]listedAccount{"client_accounts": accounts})
	}
	rows := make([][]string, 0, len(accounts))
	for _, account := range accounts {
		rows = append(rows, []string{
			account.ClientAccount,
			strconv.FormatFloat(account.Rate, 'f', -1, 64),
			strconv.Itoa(account.Burst),
			strconv.Itoa(account.Weight),
			strings.Join(account.Services, ","),
			strconv.Itoa(account.Keys),
		})
	}
	return c.printTable([]string{"CLIENT ACCOUNT", "RATE", "BURST", "WEIGHT", "SERVICES", "KEYS"}, rows)
}
