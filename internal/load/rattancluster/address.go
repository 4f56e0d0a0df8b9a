package rattancluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/daemon/rattandaemon"
)

// The ports that every machine of a cluster uses on its own address.
const (
	callerPort   = 7101
	operatorPort = 7201
	peerPort     = 7301
	debugPort    = 7401
	serverPort   = 7001
)

// A Network carries the traffic between the machines of a cluster.
type Network interface {
	Listen(address string) (net.Listener, error)
	// Dialer returns the dial function of a machine.
	Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error)
}

// loopback is TCP on loopback addresses.
type loopback struct{}

// Listen implements Network.
func (loopback) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dialer implements Network.
func (loopback) Dialer(string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext
}

// hosts hands out addresses of 127.0.0.0/8, one for each machine, so that ports
// are fixed and several clusters run side by side.
type hosts struct {
	second, third byte
	next          byte
}

// blockAttempts bounds the search for a free block of addresses.
const blockAttempts = 50

// newHosts returns a block of 250 addresses that nothing listens on.
func newHosts(network Network) (*hosts, error) {
	for range blockAttempts {
		h := &hosts{second: byte(64 + rand.IntN(128)), third: byte(rand.IntN(256))}
		probe, err := network.Listen(address(h.host(), serverPort))
		if err != nil {
			continue
		}
		_ = probe.Close()
		return h, nil
	}
	return nil, errors.New("no free block of loopback addresses")
}

// host returns the next unused address.
func (h *hosts) host() string {
	h.next++
	return fmt.Sprintf("127.%d.%d.%d", h.second, h.third, h.next)
}

func address(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// hostNetwork is the network as one machine sees it.
type hostNetwork struct {
	Network
	host string
}

var _ rattandaemon.Network = hostNetwork{}

// DialContext implements rattandaemon.Network.
func (n hostNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return n.Dialer(n.host)(ctx, network, address)
}
