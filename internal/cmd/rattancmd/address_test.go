package rattancmd

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// blockAttempts is how many blocks are tried to find one that no other run uses.
	blockAttempts = 50
	// A listener on blockPort of a block's last address reserves the block while a
	// script uses it.
	blockPort     = 7001
	blockLastHost = 254
)

// An addressBlock hands out addresses of the loopback network 127.x.y.0/24, one IP
// address for each machine: the platform, a VM or an endpoint.
type addressBlock struct {
	second, third, next int
	reservation         net.Listener
}

// newAddressBlock reserves a random block, so that no two runs at the same time share
// one.
func newAddressBlock() (*addressBlock, error) {
	for range blockAttempts {
		block := &addressBlock{second: 64 + rand.IntN(128), third: rand.IntN(256)}
		var err error
		if block.reservation, err = net.Listen("tcp", net.JoinHostPort(block.host(blockLastHost), strconv.Itoa(blockPort))); err == nil {
			return block, nil
		}
	}
	return nil, errors.New("no unused block of loopback addresses found")
}

func (b *addressBlock) host(lastByte int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.second, b.third, lastByte)
}

// newMachine returns free addresses, one for each of count ports, on the next IP
// address of the block.
func (b *addressBlock) newMachine(count int) ([]string, error) {
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
