package rattanpool

const (
	defaultAhead     = 1
	defaultMaxQueued = 1000
)

type settings struct {
	fifo      bool
	unlimited bool
	ahead     int
	maxQueued int
}

// An Option changes how a Pool works.
type Option func(*settings)

// WithFIFO serves all client accounts in order of arrival. It is a baseline for
// measurements.
func WithFIFO() Option {
	return func(s *settings) { s.fifo = true }
}

// WithoutInFlightLimit lets requests run as long as there are connections. It is
// a baseline for measurements.
func WithoutInFlightLimit() Option {
	return func(s *settings) { s.unlimited = true }
}

// WithMinIdle sets how many free connections are kept open ahead of demand; the
// default is 1.
func WithMinIdle(connections int) Option {
	return func(s *settings) { s.ahead = connections }
}

// WithMaxQueued bounds the waiting requests of one client account, beside the
// bound by their deadlines; the default is 1000.
func WithMaxQueued(requests int) Option {
	return func(s *settings) { s.maxQueued = requests }
}

func newSettings(options []Option) settings {
	s := settings{ahead: defaultAhead, maxQueued: defaultMaxQueued}
	for _, option := range options {
		option(&s)
	}
	return s
}
