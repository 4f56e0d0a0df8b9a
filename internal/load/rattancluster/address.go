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

// Ports of a deployment. Every machine (a VM, the platform or an endpoint) has its own
// loopback address, so all of them can use the same ports.
const (
	callerPort   = 7101
	operatorPort = 7201
	peerPort     = 7301
	debugPort    = 7401
	// standinPort is the port of the platform and of the endpoints.
	standinPort = 7001
)

// A Network carries the traffic between the machines of a cluster.
type Network interface {
	Listen(address string) (net.Listener, error)
	// Dialer returns the function with which the machine at an address dials others.
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

// A hostBlock allocates addresses of 127.0.0.0/8, one for each machine, so that ports
// are fixed and several clusters can run side by side on one computer.
type hostBlock struct {
	// These are the last three bytes of the address that was allocated last.
	second, third byte
	fourth        byte
}

// blockAttempts bounds the search for a free block of addresses.
const blockAttempts = 50

// newHostBlock returns a random block of 250 addresses. It takes a block to be free
// when nothing listens on the first address.
func newHostBlock(network Network) (*hostBlock, error) {
	for range blockAttempts {
		h := &hostBlock{second: byte(64 + rand.IntN(128)), third: byte(rand.IntN(256))}
		probe, err := network.Listen(address(h.nextHost(), standinPort))
		if err != nil {
			continue
		}
		_ = probe.Close()
		return h, nil
	}
	return nil, errors.New("no free block of loopback addresses")
}

// nextHost allocates the next address of the block.
func (h *hostBlock) nextHost() string {
	h.fourth++
	return fmt.Sprintf("127.%d.%d.%d", h.second, h.third, h.fourth)
}

func address(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// A hostNetwork is a Network with which one machine listens and dials.
type hostNetwork struct {
	Network
	host string
}

var _ rattandaemon.Network = hostNetwork{}

// DialContext implements rattandaemon.Network.
func (n hostNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return n.Dialer(n.host)(ctx, network, address)
}
