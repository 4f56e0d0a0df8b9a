package rattanload

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
)

const (
	// sendFraction is the fraction of its rate that a client account sends on average.
	sendFraction = 0.8
	// floodFactor is how many times its rate the flooding client account sends.
	floodFactor = 4
	// floodFromFraction and floodUntilFraction bound the flood, as fractions of the
	// duration.
	floodFromFraction  = 0.10
	floodUntilFraction = 0.90
)

// SettleTime is the pause between the start of a cluster and the start of the load: a
// daemon starts with empty token buckets, which fill within 2 s, and opens its
// connections.
const SettleTime = 3 * time.Second

// FindScenario returns the scenario called name, and the client account that floods it.
func FindScenario(name string) (scenario rattancluster.Scenario, flooding string, err error) {
	switch name {
	case "fjordknute":
		return rattancluster.Fjordknute(), "dealers", nil
	case "palapeli":
		return rattancluster.Palapeli(), "form", nil
	default:
		return rattancluster.Scenario{}, "", errors.Errorf("scenario %q: accepted are fjordknute and palapeli", name)
	}
}

// ForCluster sets the addresses, services and client accounts of a cluster in a Config
// that has a Duration. The load has 70% reads, of which 30% may be stale, and sessions
// that move to another daemon before 30% of the requests. Every client account sends
// 0.8 times its rate; the flooding one sends 4 times its rate for most of the run.
func ForCluster(cluster *rattancluster.Cluster, config Config, flooding string) Config {
	config.URLs = cluster.CallerURLs()
	if config.Transport == nil {
		config.Transport = cluster.NewCallerTransport()
	}
	config.Services = cluster.Scenario().Services
	config.StaleRoute = rattancluster.StaleRoute
	config.ReadShare, config.StaleShare, config.Roam = 0.7, 0.3, 0.3
	config.Marks = &Marks{}
	config.Accounts = nil
	for _, account := range cluster.Scenario().Accounts {
		sender := Account{
			Name:  account.Name,
			Key:   cluster.Key(account.Name),
			Rate:  float64(account.Rate),
			Burst: float64(account.Burst),
			Send:  sendFraction * float64(account.Rate),
		}
		if account.Name == flooding {
			sender.Flood = floodFactor * sender.Rate
			sender.FloodFrom = time.Duration(floodFromFraction * float64(config.Duration))
			sender.FloodUntil = time.Duration(floodUntilFraction * float64(config.Duration))
		}
		config.Accounts = append(config.Accounts, sender)
	}
	return config
}
