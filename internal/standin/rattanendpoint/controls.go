package rattanendpoint

import (
	"context"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// PeerHeader names the sender of a call: an instance or, when it sets the
// header, a daemon. Only CutFrom and CutTo look at it.
const PeerHeader = "Rattanstream-Peer"

// Controls are the adjustable figures and the fault switches of an instance.
// The zero Controls is a healthy instance.
type Controls struct {
	// Killed makes all calls fail and drops connections. Durable state stays.
	Killed bool
	// Frozen makes calls hang, also those in progress, until it is cleared.
	Frozen bool
	// Delay is the time from the arrival of a call until it runs.
	Delay time.Duration
	// Late is the time from the end of a call until its answer leaves.
	Late time.Duration
	// LoseAnswers is the number of the next calls that run but fail; LoseOf
	// restricts it to a method such as "Promote".
	LoseAnswers int
	LoseOf      string
	// CrossAnswers is the number of the next RunStatements calls that get the
	// answer of the previous call, with its call number.
	CrossAnswers int
	// ReplicationLag is the time from the arrival of an entry until it is applied.
	ReplicationLag time.Duration
	// ReplicationStopped makes a replica refuse all entries.
	ReplicationStopped bool
	// CutFrom and CutTo name senders and receivers (see PeerHeader) whose
	// messages to or from the instance are dropped.
	CutFrom, CutTo []string
	// Recording keeps the bytes of all requests for Recorded.
	Recording bool
	// ServiceTime is the time that each statement spends in its slot.
	ServiceTime time.Duration
}

// Controls returns the present controls.
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

// Adjust changes the controls in one step.
func (i *Instance) Adjust(change func(*Controls)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	controls := i.controls
	change(&controls)
	i.setControls(controls)
}

func (i *Instance) setControls(controls Controls) {
	dropped := controls.Killed && !i.controls.Killed
	i.controls = controls
	i.notify()
	if dropped {
		i.dropAll()
	}
}

// idle reports whether the instance does nothing by itself. The caller holds mu.
func (i *Instance) idle() bool {
	return i.stopped || i.controls.Killed || i.controls.Frozen
}

func (i *Instance) serviceTime() time.Duration {
	return i.Controls().ServiceTime
}

// waitThawed waits while the instance is frozen.
func (i *Instance) waitThawed(ctx context.Context) error {
	return i.wait(ctx, nil, func() (bool, error) {
		if i.stopped || i.controls.Killed {
			return false, errKilled
		}
		return !i.controls.Frozen, nil
	})
}

// passCut waits until ctx ends when the peer is in the list.
func (i *Instance) passCut(ctx context.Context, list func(Controls) []string, peer string) error {
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

// guard runs a call under the controls. sender is empty when it is not known.
func (i *Instance) guard(ctx context.Context, sender, procedure string, run func(context.Context) error) error {
	i.mu.Lock()
	life := i.life
	i.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	if err := i.admit(ctx, sender); err != nil {
		return unavailable(life, err)
	}
	err := run(ctx)
	if failed := i.deliver(ctx, sender, procedure); failed != nil {
		return unavailable(life, failed)
	}
	return unavailable(life, err)
}

// unavailable replaces the error of a call that the instance's end interrupted.
func unavailable(life context.Context, err error) error {
	if err != nil && life.Err() != nil {
		return errKilled
	}
	return err
}

func (i *Instance) admit(ctx context.Context, sender string) error {
	if err := i.passCut(ctx, func(c Controls) []string { return c.CutFrom }, sender); err != nil {
		return err
	}
	if err := i.waitThawed(ctx); err != nil {
		return err
	}
	return i.sleep(ctx, i.Controls().Delay)
}

func (i *Instance) deliver(ctx context.Context, sender, procedure string) error {
	if err := i.sleep(ctx, i.Controls().Late); err != nil {
		return err
	}
	if err := i.waitThawed(ctx); err != nil {
		return err
	}
	if i.losesAnswer(procedure) {
		return errLost
	}
	return i.passCut(ctx, func(c Controls) []string { return c.CutTo }, sender)
}

func (i *Instance) losesAnswer(procedure string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.controls.LoseAnswers == 0 || !strings.HasSuffix(procedure, "/"+i.controls.LoseOf) && i.controls.LoseOf != "" {
		return false
	}
	i.controls.LoseAnswers--
	return true
}

// crossAnswer returns the previous answer in place of this one while
// CrossAnswers is set.
func (i *Instance) crossAnswer(answer *rattanv1.RunStatementsResponse) *rattanv1.RunStatementsResponse {
	i.mu.Lock()
	defer i.mu.Unlock()
	previous := i.answer
	i.answer = answer
	if i.controls.CrossAnswers == 0 || previous == nil {
		return answer
	}
	i.controls.CrossAnswers--
	return previous
}
