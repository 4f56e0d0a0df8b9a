package rattancmd

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// credentialVariable is the environment variable with the team's credential.
const credentialVariable = "RATTANSTREAM_CREDENTIAL"

// operatorFlags are the flags of every command that talks to a daemon.
type operatorFlags struct {
	url            string
	credentialFile string
	authority      string
	team           string
	timeout        time.Duration
}

// addOperatorFlags adds the operator flags to cmd and all commands below it.
func (c *config) addOperatorFlags(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&c.operator.url, "url", "http://127.0.0.1:7201", "operator address of a daemon")
	flags.StringVar(&c.operator.credentialFile, "credential-file", "",
		"file with the team's credential (default: the variable "+credentialVariable+")")
	flags.StringVar(&c.operator.authority, "tls-authority", "", "file with the certificate authority of the daemons")
	flags.StringVar(&c.operator.team, "team", "root", "team whose settings are read or changed")
	flags.DurationVar(&c.operator.timeout, "timeout", 15*time.Second, "longest time for the command")
}

// withOperator calls f with a client of the daemon and a context that ends
// after the timeout.
func (c *config) withOperator(ctx context.Context, f func(context.Context, rattanv1connect.OperatorServiceClient) error) error {
	client, err := c.operator.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.operator.timeout)
	defer cancel()
	return f(ctx, client)
}

func (o operatorFlags) client() (rattanv1connect.OperatorServiceClient, error) {
	if err := o.checkURL(); err != nil {
		return nil, err
	}
	credential, err := o.credential()
	if err != nil {
		return nil, err
	}
	httpClient, err := o.httpClient()
	if err != nil {
		return nil, err
	}
	authorize := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+credential)
			return next(ctx, req)
		}
	})
	return rattanv1connect.NewOperatorServiceClient(httpClient, o.url, connect.WithInterceptors(authorize)), nil
}

func (o operatorFlags) credential() (string, error) {
	credential := os.Getenv(credentialVariable)
	if o.credentialFile != "" {
		text, err := os.ReadFile(o.credentialFile)
		if err != nil {
			return "", invalidError{errors.Wrap(err, "read --credential-file")}
		}
		credential = strings.TrimSpace(string(text))
	}
	if credential == "" {
		return "", usageErrorf("no credential; accepted: --credential-file or the variable %s with rst_<team>_<secret>", credentialVariable)
	}
	return credential, nil
}

// checkURL rejects a URL that is not an http or https address, and a certificate
// authority for an http address, where it would have no effect.
func (o operatorFlags) checkURL() error {
	parsed, err := url.Parse(o.url)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return usageErrorf("--url %q: accepted is an address such as http://127.0.0.1:7201 or https://127.0.0.1:7201", o.url)
	}
	if o.authority != "" && parsed.Scheme != "https" {
		return usageErrorf("--url %q: --tls-authority needs an address that begins with https://", o.url)
	}
	return nil
}

func (o operatorFlags) httpClient() (*http.Client, error) {
	if o.authority == "" {
		return &http.Client{}, nil
	}
	pem, err := os.ReadFile(o.authority)
	if err != nil {
		return nil, invalidError{errors.Wrap(err, "read --tls-authority")}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, invalidError{errors.Errorf("--tls-authority %s holds no certificate", o.authority)}
	}
	transport := &http.Transport{
		TLSClientConfig:   &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13},
		ForceAttemptHTTP2: true,
	}
	return &http.Client{Transport: transport}, nil
}

// newChangeID returns a random ID for one change. A request that is sent again
// because its response was lost carries the same ID.
func newChangeID() string { return rand.Text() }
