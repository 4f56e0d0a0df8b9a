package rattanpool

const (
	defaultMinIdle   = 1
	defaultMaxQueued = 1000
)

type settings struct {
	fifo      bool
	unlimited bool
	minIdle   int
	maxQueued int
}

// An Option configures a Pool.
type Option func(*settings)

// WithFIFO serves requests in order of arrival, regardless of their client account.
// It is a baseline for measurements.
func WithFIFO() Option {
	return func(s *settings) { s.fifo = true }
}

// WithoutInFlightLimit removes the adaptive in-flight limit, so that only the
// number of connections limits the running requests. It is a baseline for
// measurements.
func WithoutInFlightLimit() Option {
	return func(s *settings) { s.unlimited = true }
}

// WithMinIdle sets how many idle connections the pool opens ahead of demand; the
// default is 1.
func WithMinIdle(connections int) Option {
	return func(s *settings) { s.minIdle = connections }
}

// WithMaxQueued sets how many requests of one client account may wait; the default
// is 1000. Requests that would miss their deadlines are refused in any case.
func WithMaxQueued(requests int) Option {
	return func(s *settings) { s.maxQueued = requests }
}

func newSettings(options []Option) settings {
	s := settings{minIdle: defaultMinIdle, maxQueued: defaultMaxQueued}
	for _, option := range options {
		option(&s)
	}
	return s
}
