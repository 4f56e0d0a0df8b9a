package rattanproxy

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// TestTrimmedLoad guards against a load that changes on its way, and against one whose
// origin is not known and which would stand beside those of another daemon.
func TestTrimmedLoad(t *testing.T) {
	position := &rattanv1.Position{Term: 2, Index: 40}
	load := &rattanv1.EndpointLoad{Keeper: "incarnation", Number: 7, Slots: 6, Position: position}
	for name, test := range map[string]struct {
		response *rattanv1.WorkResponse
		saves    bool
	}{
		"the position of the response": {&rattanv1.WorkResponse{Position: position}, true},
		"an older position":            {&rattanv1.WorkResponse{Position: &rattanv1.Position{Term: 2, Index: 39}}, true},
		"no position":                  {&rattanv1.WorkResponse{}, true},
		"another daemon's load":        {&rattanv1.WorkResponse{Load: &rattanv1.EndpointLoad{Keeper: "other", Position: position}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			response := test.response
			if response.GetLoad() == nil {
				response.Load = proto.CloneOf(load)
			}
			want, size := proto.CloneOf(response), proto.Size(response)
			trimLoad(response, "incarnation")
			if saves := proto.Size(response) < size; saves != test.saves {
				t.Errorf("%d bytes of %d after the trim", proto.Size(response), size)
			}
			completeLoad(response, "incarnation")
			if !proto.Equal(response, want) {
				t.Errorf("got %v, want %v", response, want)
			}
		})
	}
	t.Run("an unknown daemon", func(t *testing.T) {
		response := &rattanv1.WorkResponse{Load: proto.CloneOf(load)}
		trimLoad(response, "incarnation")
		completeLoad(response, "")
		if response.GetLoad() != nil {
			t.Errorf("got the load %v of an unknown daemon", response.GetLoad())
		}
	})
}
