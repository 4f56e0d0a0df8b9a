package rattandaemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/caller/rattanservice"
	"github.com/rattanstream/rattanstream/internal/config/rattankey"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// retryNotFresh is the time after which a caller may retry at a VM whose data on
// withdrawn keys is too old, as on a partitioned VM. Another VM may serve the
// caller at once.
const retryNotFresh = time.Second

// A refusingKeyring is a Keyring whose errors are refusals.
type refusingKeyring struct{ keyring *rattankey.Keyring }

var _ rattanservice.Keyring = (*refusingKeyring)(nil)

// Authenticate implements rattanservice.Keyring.
func (k *refusingKeyring) Authenticate(key string) (rattanservice.Identity, error) {
	identity, err := k.keyring.Authenticate(key)
	if err != nil {
		return rattanservice.Identity{}, keyRefusal(err)
	}
	return rattanservice.Identity{KeyID: identity.KeyID(), ClientAccount: identity.ClientAccount()}, nil
}

// Track implements rattanservice.Keyring.
func (k *refusingKeyring) Track(ctx context.Context, keyID string) (context.Context, context.CancelFunc) {
	running, end := k.keyring.Track(ctx, keyID)
	tracked, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(running, func() { cancel(keyRefusal(context.Cause(running))) })
	return tracked, func() {
		stop()
		cancel(nil)
		end()
	}
}

// keyRefusal returns the refusal for an error of rattankey, and every other error
// unchanged.
func keyRefusal(err error) error {
	var withdrawn *rattankey.WithdrawnError
	var notFresh *rattankey.NotFreshError
	switch {
	case errors.As(err, &withdrawn):
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_KEY_WITHDRAWN, 0, "%s", withdrawn)
	case errors.As(err, &notFresh):
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_KEY_NOT_FRESH, retryNotFresh, "%s", notFresh)
	case errors.Is(err, rattankey.ErrUnauthenticated):
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAUTHENTICATED, 0, "%s", err)
	default:
		return err
	}
}
