package rattancluster

import (
	"context"
	"os"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"

	"github.com/rattanstream/rattanstream/internal/caller/rattanservice"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

func smallScenario() Scenario {
	s := Fjordknute()
	s.VMs = []int{1, 1, 1}
	s.Services = []string{"orders"}
	return s
}

func startCluster(t *testing.T, scenario Scenario, options ...Option) *Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	cluster, err := Start(ctx, scenario, append(options, WithLog(os.Stderr, log.WarnLevel))...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Stop)
	return cluster
}

// A caller sends the requests of one session, each to any VM.
type caller struct {
	t       *testing.T
	cluster *Cluster
	account string
	token   string
}

func (c *caller) execute(vm *VM, request *rattanv1.ExecuteRequest) (*rattanv1.ExecuteResponse, error) {
	c.t.Helper()
	wire := connect.NewRequest(request)
	wire.Header().Set("Authorization", "Bearer "+c.cluster.Key(c.account))
	wire.Header().Set(rattanservice.SessionHeader, c.token)
	ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
	defer cancel()
	response, err := c.cluster.Caller(vm).Execute(ctx, wire)
	if err != nil {
		return nil, err
	}
	c.token = response.Header().Get(rattanservice.SessionHeader)
	return response.Msg, nil
}

func statement(text string, arguments ...*rattanv1.Value) *rattanv1.Statement {
	return &rattanv1.Statement{Text: text, Arguments: arguments}
}

// TestReadYourWrites guards against a session that loses its writes when it
// moves to another daemon.
func TestReadYourWrites(t *testing.T) {
	t.Run("plain", func(t *testing.T) { testReadYourWrites(t) })
	t.Run("tls", func(t *testing.T) { testReadYourWrites(t, WithTLS()) })
}

func testReadYourWrites(t *testing.T, options ...Option) {
	t.Helper()
	cluster := startCluster(t, smallScenario(), options...)
	session := &caller{t: t, cluster: cluster, account: "checkout"}
	vms := cluster.VMs()
	for i := range 30 {
		amount := &rattanv1.Value{Kind: &rattanv1.Value_Integer{Integer: int64(i)}}
		if _, err := session.execute(vms[i%3], &rattanv1.ExecuteRequest{
			Service:   "orders",
			Statement: statement("INSERT INTO items (id, amount) VALUES ('x', ?)", amount),
		}); err != nil {
			t.Fatalf("write %d: %v", i, err)
		}
		response, err := session.execute(vms[(i+1)%3], &rattanv1.ExecuteRequest{
			Service:   "orders",
			Statement: statement("SELECT COUNT(*) FROM items"),
			ReadOnly:  true,
		})
		if err != nil {
			t.Fatalf("read %d: %v", i, err)
		}
		if got := response.GetResult().GetRows()[0].GetValues()[0].GetInteger(); got != int64(i+1) {
			t.Fatalf("read %d at %s: saw %d writes, want %d", i, vms[(i+1)%3].Name(), got, i+1)
		}
	}
}
