package rattanendpoint

import (
	"context"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// PeerHeader is the HTTP header that names the sender of a call: an instance or,
// if it sets the header, a daemon. It is used only for CutFrom and CutTo.
const PeerHeader = "Rattanstream-Peer"

// Controls are the settings of an instance that can change while it runs, and the
// faults that are injected. The zero Controls inject none.
type Controls struct {
	// Killed makes all calls fail and closes all connections. Durable state stays.
	Killed bool
	// Frozen makes calls hang, also those in progress, until it is cleared.
	Frozen bool
	// Delay is the time from the arrival of a call until it runs.
	Delay time.Duration
	// Late is the time from the end of a call until its response is sent.
	Late time.Duration
	// LoseAnswers is how many of the next calls run but return an error in place of
	// their response; LoseOf restricts this to a method such as "Promote".
	LoseAnswers int
	LoseOf      string
	// CrossAnswers is how many of the next RunStatements calls get the response of
	// the previous call, with the call number of that one.
	CrossAnswers int
	// ReplicationLag is the time from the arrival of an entry until it is applied.
	ReplicationLag time.Duration
	// ReplicationStopped makes a replica refuse all entries.
	ReplicationStopped bool
	// CutFrom and CutTo name senders and receivers (see PeerHeader) whose
	// messages to or from the instance are dropped.
	CutFrom, CutTo []string
	// Recording stores the bytes of all HTTP requests for Recorded.
	Recording bool
	// ServiceTime is the time that each statement spends in its slot.
	ServiceTime time.Duration
}

// Controls returns the current controls.
func (i *Instance) Controls() Controls {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.controls
}

// SetControls replaces the controls.
func (i *Instance) SetControls(controls Controls) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.setControls(controls)
}

// Adjust changes the controls atomically.
func (i *Instance) Adjust(change func(*Controls)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	controls := i.controls
	change(&controls)
	i.setControls(controls)
}

// setControls replaces the controls, and ends all calls and connections if they
// kill the instance. The caller holds mu.
func (i *Instance) setControls(controls Controls) {
	isKill := controls.Killed && !i.controls.Killed
	i.controls = controls
	i.notify()
	if isKill {
		i.dropAll()
	}
}

// inactive reports whether the instance sends no calls to its peers, because it is
// stopped, killed or frozen. The caller holds mu.
func (i *Instance) inactive() bool {
	return i.stopped || i.controls.Killed || i.controls.Frozen
}

func (i *Instance) serviceTime() time.Duration {
	return i.Controls().ServiceTime
}

// waitUnfrozen waits while the instance is frozen. The error is errDown when the
// instance is stopped or killed.
func (i *Instance) waitUnfrozen(ctx context.Context) error {
	return i.wait(ctx, nil, func() (bool, error) {
		if i.stopped || i.controls.Killed {
			return false, errDown
		}
		return !i.controls.Frozen, nil
	})
}

// blockIfCut waits until ctx ends when the list names the peer, as a call does
// whose messages are dropped.
func (i *Instance) blockIfCut(ctx context.Context, list func(Controls) []string, peer string) error {
	if peer == "" || !slices.Contains(list(i.Controls()), peer) {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// intercept applies the controls to a call over HTTP.
func (i *Instance) intercept(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (response connect.AnyResponse, err error) {
		err = i.guard(ctx, request.Header().Get(PeerHeader), request.Spec().Procedure, func(ctx context.Context) error {
			response, err = next(ctx, request)
			return err
		})
		if err != nil {
			return nil, err
		}
		return response, nil
	}
}

// guard runs a call under the controls. sender is empty when it is not known. A
// call that ends because the instance is killed or stopped returns errDown.
func (i *Instance) guard(ctx context.Context, sender, procedure string, run func(context.Context) error) error {
	i.mu.Lock()
	lifetime := i.lifetime
	i.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(lifetime, cancel)()
	if err := i.admit(ctx, sender); err != nil {
		return downError(lifetime, err)
	}
	err := run(ctx)
	if deliverErr := i.deliver(ctx, sender, procedure); deliverErr != nil {
		return downError(lifetime, deliverErr)
	}
	return downError(lifetime, err)
}

// downError returns errDown in place of the error of a call that was interrupted
// because the instance was killed or stopped.
func downError(lifetime context.Context, err error) error {
	if err != nil && lifetime.Err() != nil {
		return errDown
	}
	return err
}

// admit applies the controls that act before a call runs.
func (i *Instance) admit(ctx context.Context, sender string) error {
	if err := i.blockIfCut(ctx, func(c Controls) []string { return c.CutFrom }, sender); err != nil {
		return err
	}
	if err := i.waitUnfrozen(ctx); err != nil {
		return err
	}
	return i.sleep(ctx, i.Controls().Delay)
}

// deliver applies the controls that act after a call has run.
func (i *Instance) deliver(ctx context.Context, sender, procedure string) error {
	if err := i.sleep(ctx, i.Controls().Late); err != nil {
		return err
	}
	if err := i.waitUnfrozen(ctx); err != nil {
		return err
	}
	if i.takeLostResponse(procedure) {
		return errResponseLost
	}
	return i.blockIfCut(ctx, func(c Controls) []string { return c.CutTo }, sender)
}

// takeLostResponse reports whether the response of a call is to be lost, and then
// reduces LoseAnswers by one.
func (i *Instance) takeLostResponse(procedure string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.controls.LoseAnswers == 0 || !strings.HasSuffix(procedure, "/"+i.controls.LoseOf) && i.controls.LoseOf != "" {
		return false
	}
	i.controls.LoseAnswers--
	return true
}

// crossResponse returns the previous response in place of this one while
// CrossAnswers is above zero, and then reduces it by one.
func (i *Instance) crossResponse(response *rattanv1.RunStatementsResponse) *rattanv1.RunStatementsResponse {
	i.mu.Lock()
	defer i.mu.Unlock()
	previous := i.lastResponse
	i.lastResponse = response
	if i.controls.CrossAnswers == 0 || previous == nil {
		return response
	}
	i.controls.CrossAnswers--
	return previous
}
