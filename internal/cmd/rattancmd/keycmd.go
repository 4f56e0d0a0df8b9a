package rattancmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

func newKeyCmd(c *config) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "key",
		Short: "Give, list and withdraw keys of client accounts",
	}
	c.addOperatorFlags(cmd)
	cmd.AddCommand(newKeyGiveCmd(c), newKeyListCmd(c), newKeyWithdrawCmd(c))
	return cmd
}

func newKeyGiveCmd(c *config) *cobra.Command {
	return &cobra.Command{
		Use:   "give ACCOUNT",
		Short: "Make a key for a client account and print it once",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request := &rattanv1.GiveKeyRequest{Team: c.operator.team, ClientAccount: args[0], ChangeId: newChangeID()}
			return c.withOperator(cmd.Context(), func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
				response, err := client.GiveKey(ctx, connect.NewRequest(request))
				if err != nil {
					return err
				}
				return c.print(response.Msg, []string{"KEY ID", "KEY"}, func() [][]string {
					return [][]string{{response.Msg.GetKeyId(), response.Msg.GetKey()}}
				})
			})
		},
	}
}

func newKeyListCmd(c *config) *cobra.Command {
	return &cobra.Command{
		Use:   "list [ACCOUNT]",
		Short: "List keys without their secrets",
		Args:  maximumArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request := &rattanv1.ListKeysRequest{Team: c.operator.team, ClientAccount: strings.Join(args, "")}
			return c.withOperator(cmd.Context(), func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
				response, err := client.ListKeys(ctx, connect.NewRequest(request))
				if err != nil {
					return err
				}
				return c.print(response.Msg, []string{"KEY ID", "CLIENT ACCOUNT", "WITHDRAWN"}, func() [][]string {
					return keyRows(response.Msg.GetKeys())
				})
			})
		},
	}
}

func keyRows(keys []*rattanv1.Key) [][]string {
	rows := make([][]string, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, []string{key.GetKeyId(), key.GetClientAccount(), yesNo(key.GetWithdrawn())})
	}
	return rows
}

func newKeyWithdrawCmd(c *config) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "withdraw KEY-ID",
		Short: "Withdraw a key everywhere, also from connected callers",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request := &rattanv1.WithdrawKeyRequest{
				Team:      c.operator.team,
				KeyId:     args[0],
				ChangeId:  newChangeID(),
				MaxWaitMs: uint32(wait.Milliseconds()),
			}
			return c.withOperator(cmd.Context(), func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
				response, err := retryUnavailable(func() (*connect.Response[rattanv1.WithdrawKeyResponse], error) {
					return client.WithdrawKey(ctx, connect.NewRequest(request))
				})
				if err != nil {
					return err
				}
				return c.reportWithdrawal(args[0], response.Msg)
			})
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 8*time.Second, "longest wait for the confirmations of the VMs")
	return cmd
}

func (c *config) reportWithdrawal(keyID string, response *rattanv1.WithdrawKeyResponse) error {
	if c.output == outputJSON {
		if err := c.printJSON(response); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(c.stdout, "key %s: withdrawal in force on %d of %d VMs\n", keyID, response.GetConfirmed(), response.GetDaemons())
	}
	if !response.GetAccepted() {
		return pendingError{fmt.Sprintf("withdrawal of key %s is stored and not yet confirmed by a majority of the failure domains; missing VMs: %s",
			keyID, strings.Join(response.GetMissing(), ", "))}
	}
	return nil
}
