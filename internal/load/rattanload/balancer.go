package rattanload

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// healthPath is the path of the daemons' health service in the Connect protocol.
const healthPath = "/grpc.health.v1.Health/Check"

// A balancer simulates the platform's load balancer: it sends no requests to daemons
// that do not report SERVING.
type balancer struct {
	config Config
	client *http.Client

	mutex   sync.Mutex
	serving []bool
}

func newBalancer(config Config) *balancer {
	b := &balancer{config: config, client: &http.Client{Transport: config.Transport}, serving: make([]bool, len(config.URLs))}
	for i := range b.serving {
		b.serving[i] = true
	}
	return b
}

// choose returns the daemon that a random number in [0, 1) selects among those that
// serve, or among all when none does.
func (b *balancer) choose(number float64) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var serving []int
	for i, ok := range b.serving {
		if ok {
			serving = append(serving, i)
		}
	}
	if len(serving) == 0 {
		return int(number * float64(len(b.serving)))
	}
	return serving[int(number*float64(len(serving)))]
}

func (b *balancer) serves(daemon int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.serving[daemon]
}

// run checks the health of all daemons at every HealthInterval until ctx ends.
func (b *balancer) run(ctx context.Context) {
	if b.config.HealthInterval < 0 {
		return
	}
	for {
		var checks sync.WaitGroup
		for i, url := range b.config.URLs {
			checks.Go(func() {
				healthy := b.check(ctx, url)
				if ctx.Err() != nil {
					return
				}
				b.mutex.Lock()
				defer b.mutex.Unlock()
				b.serving[i] = healthy
			})
		}
		checks.Wait()
		select {
		case <-ctx.Done():
			return
		case <-b.config.Clock.After(b.config.HealthInterval):
		}
	}
}

// check reports whether a daemon reports SERVING within HealthInterval.
func (b *balancer) check(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, b.config.HealthInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+healthPath, strings.NewReader("{}"))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var health struct {
		Status string `json:"status"`
	}
	err = json.NewDecoder(response.Body).Decode(&health)
	return err == nil && (health.Status == "SERVING" || health.Status == "SERVING_STATUS_SERVING")
}
