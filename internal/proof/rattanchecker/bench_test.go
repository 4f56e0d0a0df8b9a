package rattanchecker

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// longTrace returns a trace without violations, with the given number of
// requests from 50 sessions on 200 keys.
func longTrace(requests int) []Event {
	random := rand.New(rand.NewPCG(1, 1))
	events := []Event{
		{Type: Operator, Action: GiveKey, Target: "k1", ClientAccount: "shop/a"},
		{Type: Operator, Action: SetRate, Target: "shop/a", Rate: 1000, Burst: 100},
	}
	values := make(map[string]string)
	for i := range requests {
		at := time.Duration(i) * time.Millisecond
		id, key := strconv.Itoa(i), fmt.Sprint("key", random.IntN(200))
		request := Event{Type: Request, At: at, ID: id, Session: fmt.Sprint("s", random.IntN(50)), KeyID: "k1", ClientAccount: "shop/a", Key: key}
		response := Event{Type: Response, At: at + 500*time.Microsecond, ID: id, Outcome: OK, Whole: true, Key: key}
		switch random.IntN(5) {
		case 0:
			request.Operation, request.Value = Write, id
			values[key] = id
			run := Event{Type: Execution, At: at + 200*time.Microsecond, ID: id, Endpoint: "e", FailureDomain: "a", ClientAccount: "shop/a", Connection: "c", Step: Single}
			events = append(events, run)
		case 1:
			request.Operation, response.Value = Audit, values[key]
		default:
			request.Operation, response.Value = Read, values[key]
		}
		events = append(events, request, response)
	}
	for i := range events {
		events[i].Line = i + 1
	}
	return events
}

// BenchmarkCheck guards against a checker that is too slow for the trace of a
// complete fault script.
func BenchmarkCheck(b *testing.B) {
	for _, requests := range []int{1000, 10000, 100000} {
		b.Run(strconv.Itoa(requests), func(b *testing.B) {
			events := longTrace(requests)
			for b.Loop() {
				if violations := Check(events); len(violations) > 0 {
					b.Fatalf("trace without violations was rejected: %v", violations[0])
				}
			}
		})
	}
}
