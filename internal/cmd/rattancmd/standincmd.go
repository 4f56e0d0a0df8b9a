package rattancmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanlisten"
	"github.com/rattanstream/rattanstream/internal/standin/rattanendpoint"
	"github.com/rattanstream/rattanstream/internal/standin/rattanplatform"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

func newStandinCmd(c *config) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run stand-ins of the platform and of endpoints, for trials and tests",
	}
	cmd.AddCommand(newStandinPlatformCmd(c), newStandinEndpointCmd(c))
	return cmd
}

func newStandinPlatformCmd(c *config) *cobra.Command {
	var address string
	var lag time.Duration
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run the stand-in of the platform",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			platform := rattanplatform.New(rattanclock.System(), rattanplatform.WithVMLag(lag))
			mux := http.NewServeMux()
			mux.Handle(platform.Handler())
			return c.serveStandin(cmd.Context(), "platform", address, mux)
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:7001", "address to listen on")
	cmd.Flags().DurationVar(&lag, "vm-lag", 5*time.Second, "time by which the list of VMs lags behind")
	return cmd
}

// endpointFlags are the flags of the command that runs the stand-in of an endpoint.
type endpointFlags struct {
	address        string
	name           string
	group          string
	failureDomain  string
	peers          []string
	initialPrimary string
	slots          int
	connections    int
	serviceTime    time.Duration
	lag            time.Duration
}

func newStandinEndpointCmd(c *config) *cobra.Command {
	var flags endpointFlags
	cmd := &cobra.Command{
		Use:   "endpoint",
		Short: "Run the stand-in of one endpoint of a group",
		Example: "  rattanstream standin endpoint --listen 127.0.0.1:8001 --name root/orders-a --group root/orders \\\n" +
			"    --failure-domain a --primary root/orders-a --peer root/orders-b=127.0.0.1:8002 --peer root/orders-c=127.0.0.1:8003",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			instance, err := flags.newInstance()
			if err != nil {
				return err
			}
			go instance.Run(cmd.Context())
			return c.serveStandin(cmd.Context(), flags.name, flags.address, instance.Handler())
		},
	}
	flags.add(cmd)
	return cmd
}

func (f *endpointFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "listen", "127.0.0.1:8001", "address to listen on")
	cmd.Flags().StringVar(&f.name, "name", "", "full name of the endpoint, as in the settings")
	cmd.Flags().StringVar(&f.group, "group", "", "full name of the group")
	cmd.Flags().StringVar(&f.failureDomain, "failure-domain", "", "failure domain of the endpoint")
	cmd.Flags().StringArrayVar(&f.peers, "peer", nil, "NAME=ADDRESS of another endpoint of the group; may be repeated")
	cmd.Flags().StringVar(&f.initialPrimary, "primary", "", "name of the endpoint that is primary of a new group")
	cmd.Flags().IntVar(&f.slots, "slots", 3, "statements that run at the same time")
	cmd.Flags().IntVar(&f.connections, "connections", 20, "connection limit")
	cmd.Flags().DurationVar(&f.serviceTime, "service-time", 0, "time that each statement spends in its slot")
	cmd.Flags().DurationVar(&f.lag, "lag", 0, "time by which replication lags behind")
	for _, name := range []string{"name", "group", "failure-domain"} {
		if err := cmd.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
}

func (f *endpointFlags) newInstance() (*rattanendpoint.Instance, error) {
	addresses := make(map[string]string)
	var names []string
	for _, peer := range f.peers {
		name, address, ok := strings.Cut(peer, "=")
		if !ok {
			return nil, usageErrorf("--peer %q: expected NAME=ADDRESS", peer)
		}
		addresses[name] = address
		names = append(names, name)
	}
	instance := rattanendpoint.New(rattanendpoint.Config{
		Name:           f.name,
		Group:          f.group,
		FailureDomain:  f.failureDomain,
		Peers:          names,
		InitialPrimary: f.initialPrimary,
		Slots:          f.slots,
		Connections:    f.connections,
		ServiceTime:    f.serviceTime,
		Dial: func(peer string) rattanv1connect.EndpointServiceClient {
			return rattanv1connect.NewEndpointServiceClient(&http.Client{}, "http://"+addresses[peer])
		},
	}, rattanclock.System())
	instance.Adjust(func(controls *rattanendpoint.Controls) { controls.ReplicationLag = f.lag })
	return instance, nil
}

// serveStandin serves a stand-in until ctx ends.
func (c *config) serveStandin(ctx context.Context, name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "--listen %s", address)
	}
	fmt.Fprintf(c.stderr, "%s listens on %s\n", name, listener.Addr())
	if err := rattanlisten.New(name, listener, handler).Serve(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
