package rattancmd

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// blockAttempts bounds the search for a block that no other run has.
	blockAttempts = 50
	// blockPort is held open on a block's last address while a script uses the block.
	blockPort = 7001
	blockLast = 254
)

// An addressBlock hands out addresses of 127.x.y.0/24, one for each machine.
type addressBlock struct {
	second, third, next int
	held                net.Listener
}

// newAddressBlock reserves a block, so that two runs side by side never share one.
func newAddressBlock() (*addressBlock, error) {
	for range blockAttempts {
		block := &addressBlock{second: 64 + rand.IntN(128), third: rand.IntN(256)}
		var err error
		if block.held, err = net.Listen("tcp", net.JoinHostPort(block.host(blockLast), strconv.Itoa(blockPort))); err == nil {
			return block, nil
		}
	}
	return nil, errors.New("no free block of loopback addresses")
}

func (b *addressBlock) host(last int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.second, b.third, last)
}

// machine returns count free addresses of a new machine.
func (b *addressBlock) machine(count int) ([]string, error) {
	b.next++
	addresses := make([]string, 0, count)
	for range count {
		// All listeners stay open until the last has its port, so that ports differ.
		listener, err := net.Listen("tcp", net.JoinHostPort(b.host(b.next), "0"))
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
