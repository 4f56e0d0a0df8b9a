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

// retryNotFresh is when a caller may come back to a VM that is cut off. Another
// VM may serve it at once.
const retryNotFresh = time.Second

// A keyring maps the key ring's errors to refusals.
type keyring struct{ ring *rattankey.Keyring }

var _ rattanservice.Keyring = (*keyring)(nil)

// Authenticate implements rattanservice.Keyring.
func (k *keyring) Authenticate(key string) (rattanservice.Identity, error) {
	identity, err := k.ring.Authenticate(key)
	if err != nil {
		return rattanservice.Identity{}, keyRefusal(err)
	}
	return rattanservice.Identity{KeyID: identity.KeyID(), ClientAccount: identity.ClientAccount()}, nil
}

// Track implements rattanservice.Keyring.
func (k *keyring) Track(ctx context.Context, keyID string) (context.Context, context.CancelFunc) {
	running, end := k.ring.Track(ctx, keyID)
	tracked, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(running, func() { cancel(keyRefusal(context.Cause(running))) })
	return tracked, func() {
		stop()
		cancel(nil)
		end()
	}
}

// keyRefusal returns the refusal for an error of the key ring, and every other
// error as it is.
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
