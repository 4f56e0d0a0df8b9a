package rattankv

import (
	"fmt"

	"github.com/pkg/errors"
)

// numberBits is the number of bits of a Revision that hold its number; the bits above
// them hold the era.
const numberBits = 47

// A Revision numbers the changes of the store. A store that was restored from an older
// copy begins its next era and gives out the same numbers again, so a Revision holds
// the era too. Every revision of an era is above all revisions of the eras before it.
// Revision 0 stands for no revision.
type Revision int64

// NewRevision returns the revision with a number in an era of the store; era 0 is that
// of a store that does not name its era. The error is ErrMalformed when either is out
// of range.
func NewRevision(era, number int64) (Revision, error) {
	if era < 0 || era >= 1<<(63-numberBits) || number < 0 || number >= 1<<numberBits {
		return 0, errors.Wrapf(ErrMalformed, "revision %d of era %d is out of range", number, era)
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the store's era in which the revision was given out.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the number of the revision within its era.
func (r Revision) Number() int64 { return int64(r) & (1<<numberBits - 1) }

// String returns the era and the number, or the number alone in era 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d.%d", r.Era(), r.Number())
}

// A Lease identifies a lease. A restored store gives out the same ids again, so it
// holds the era as well. The zero Lease stands for none.
type Lease struct {
	Era, ID int64
}

// IsZero reports whether it stands for no lease.
func (l Lease) IsZero() bool { return l.ID == 0 }

// String returns the era and the id, or the id alone in era 0.
func (l Lease) String() string {
	if l.Era == 0 {
		return fmt.Sprint(l.ID)
	}
	return fmt.Sprintf("%d.%d", l.Era, l.ID)
}

// numbersPerEra separates the numbers that daemons give out in two eras.
const numbersPerEra = 1_000_000

// NextNumber returns the next of the numbers that daemons give out themselves, such as
// the versions of records and fencing tokens, after the last known one in an era of the
// store. A restored store may have lost the last ones, so those of each era begin above
// those of the eras before it.
func NextNumber(last, era int64) int64 { return max(last, era*numbersPerEra) + 1 }
