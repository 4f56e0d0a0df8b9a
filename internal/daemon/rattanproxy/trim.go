package rattanproxy

import (
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// trimLoad removes from the load in a response what the asking daemon knows: the
// incarnation of the daemon that it asked, and the position that the response has
// already.
func trimLoad(response *rattanv1.WorkResponse, incarnation string) {
	load := response.GetLoad()
	if load == nil {
		return
	}
	if load.GetKeeper() == incarnation {
		load.Keeper = ""
	}
	if response.GetPosition() != nil && proto.Equal(load.GetPosition(), response.GetPosition()) {
		load.Position = nil
	}
}

// completeLoad restores what trimLoad has removed. It drops the load when the
// incarnation of the answering daemon is not known.
func completeLoad(response *rattanv1.WorkResponse, incarnation string) {
	load := response.GetLoad()
	if load == nil {
		return
	}
	if load.GetKeeper() == "" {
		load.Keeper = incarnation
	}
	if load.GetPosition() == nil {
		load.Position = response.GetPosition()
	}
	if load.GetKeeper() == "" {
		response.Load = nil
	}
}
