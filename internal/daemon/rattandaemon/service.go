package rattandaemon

import "context"

// A service is a named function that a supervisor runs and restarts.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String names the service in the supervisor's log.
func (s service) String() string { return s.name }
