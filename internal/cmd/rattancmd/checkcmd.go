package rattancmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// healthProcedure is the path of the health check that load balancers call.
const healthProcedure = "/grpc.health.v1.Health/Check"

// An unavailableError reports that a daemon does not take callers' requests.
type unavailableError struct{ err error }

// Error implements the error interface.
func (e unavailableError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e unavailableError) Unwrap() error { return e.err }

func newCheckCmd(c *config) *cobra.Command {
	var target operatorFlags
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Ask a daemon's caller address whether it takes requests, as load balancers do",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := target.checkURL(); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), target.timeout)
			defer cancel()
			return c.checkCaller(ctx, target)
		},
	}
	cmd.Flags().StringVar(&target.url, "url", "http://127.0.0.1:7101", "caller address of a daemon")
	cmd.Flags().StringVar(&target.authority, "tls-authority", "", "file with the certificate authority of the daemons")
	cmd.Flags().DurationVar(&target.timeout, "timeout", 5*time.Second, "longest time for the command")
	return cmd
}

func (c *config) checkCaller(ctx context.Context, target operatorFlags) error {
	client, err := target.httpClient()
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.url+healthProcedure, bytes.NewBufferString("{}"))
	if err != nil {
		return usageError{err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return unavailableError{err}
	}
	defer response.Body.Close()
	var health struct {
		Status string `json:"status"`
	}
	if err := json.NewDecoder(response.Body).Decode(&health); err != nil {
		return unavailableError{errors.Wrapf(err, "%s: response is not the health status of a caller address", target.url)}
	}
	if health.Status != "SERVING" && health.Status != "SERVING_STATUS_SERVING" {
		return unavailableError{errors.Errorf("%s: status is %q", target.url, health.Status)}
	}
	fmt.Fprintf(c.stdout, "%s: serving\n", target.url)
	return nil
}
