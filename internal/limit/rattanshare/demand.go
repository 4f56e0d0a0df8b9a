package rattanshare

import "time"

const (
	demandSlots    = 8
	demandSlotTime = time.Second / demandSlots
)

// A demand counts the units that callers requested in the last second, in
// thousandths, whether or not they were admitted.
type demand struct {
	start time.Time
	slot  int64
	slots [demandSlots]int64
	sum   int64
}

// add counts units at now.
func (d *demand) add(now time.Time, units int64) {
	d.advance(now)
	d.slots[d.slot%demandSlots] += units
	d.sum += units
}

// rate returns the demand at now in thousandths per second.
func (d *demand) rate(now time.Time) int64 {
	d.advance(now)
	return d.sum
}

// recentRate returns the demand of the last 125 to 250 ms in thousandths per second.
// It follows a change of the demand sooner than rate.
func (d *demand) recentRate(now time.Time) int64 {
	d.advance(now)
	last := d.slots[d.slot%demandSlots] + d.slots[(d.slot+demandSlots-1)%demandSlots]
	return last * demandSlots / 2
}

// advance moves the present slot to the time now and clears the slots that are older
// than a second.
func (d *demand) advance(now time.Time) {
	if d.start.IsZero() {
		d.start = now
	}
	slot := int64(now.Sub(d.start) / demandSlotTime)
	for i := max(d.slot+1, slot-demandSlots+1); i <= slot; i++ {
		d.sum -= d.slots[i%demandSlots]
		d.slots[i%demandSlots] = 0
	}
	d.slot = max(d.slot, slot)
}
