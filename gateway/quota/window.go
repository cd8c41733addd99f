package quota

import "time"

// windowSlots is the number of slots in a window. One more is kept because the newest slot is
// still incomplete.
const windowSlots = 32

// windowUsage counts the units used in each slot of the latest window.
type windowUsage struct {
	slotLength time.Duration
	slots      [windowSlots + 1]float64
	newest     int64 // number of the newest slot
	total      float64
}

func newWindowUsage(window time.Duration) *windowUsage {
	return &windowUsage{slotLength: max(time.Millisecond, window/windowSlots)}
}

// slotNumber returns the number of the slot that contains the time.
func (u *windowUsage) slotNumber(now time.Time) int64 { return now.UnixNano() / int64(u.slotLength) }

func (u *windowUsage) slotAt(number int64) *float64 {
	return &u.slots[uint64(number)%uint64(len(u.slots))]
}

// advance drops the slots that have left the window.
func (u *windowUsage) advance(now time.Time) {
	number := u.slotNumber(now)
	if number <= u.newest {
		return
	}
	u.newest = max(u.newest, number-int64(len(u.slots)))
	for u.newest < number {
		u.newest++
		*u.slotAt(u.newest) = 0
	}
	u.total = 0
	for _, s := range u.slots {
		u.total += s
	}
}

// add counts units as used now. Negative units are returned ones.
func (u *windowUsage) add(units float64, now time.Time) {
	u.advance(now)
	if units < 0 {
		u.giveBack(-units)
		return
	}
	*u.slotAt(u.newest) += units
	u.total += units
}

// giveBack takes returned units off the oldest slots that hold any. The time at which they were
// acquired is not known for peers. Taken off a newer slot, they would still lower the use of
// the window after the slot in which they were acquired has left it.
func (u *windowUsage) giveBack(units float64) {
	for number := u.newest - windowSlots; number <= u.newest && units > 0; number++ {
		slot := u.slotAt(number)
		taken := min(units, max(0, *slot))
		*slot -= taken
		u.total -= taken
		units -= taken
	}
}

// HistoryParts is the number of equal parts into which a History divides a window.
const HistoryParts = 4

// History is the units used of one quota in each part of the latest window, newest first.
type History [HistoryParts]float64

// history returns the units used in each part of the window.
func (u *windowUsage) history(now time.Time) History {
	u.advance(now)
	var h History
	for i := range int64(len(u.slots)) {
		h[min(HistoryParts-1, i*HistoryParts/windowSlots)] += *u.slotAt(u.newest - i)
	}
	return h
}

// unrecordedGrowth multiplies the rate of the newest part of a history, for the use that
// went on after the history was recorded: a burst may have begun.
const unrecordedGrowth = 2

// restore raises the window to at least the use in a history of the given age. The use of each
// part is counted at the end of that part. It is assumed that use went on for the unrecorded
// time after the history was recorded.
func (u *windowUsage) restore(h History, age, unrecorded time.Duration, now time.Time) {
	u.advance(now)
	partLength := u.slotLength * windowSlots / HistoryParts
	for i, units := range h {
		number := u.slotNumber(now.Add(-age - time.Duration(i)*partLength))
		if number <= u.newest-int64(len(u.slots)) || number > u.newest {
			continue
		}
		recorded := 0.0
		for n := number; n > number-windowSlots/HistoryParts && n > u.newest-int64(len(u.slots)); n-- {
			recorded += *u.slotAt(n)
		}
		u.addToSlot(number, units-recorded)
	}
	continued := min(age, unrecorded)
	u.addToSlot(u.slotNumber(now.Add(continued-age)), unrecordedGrowth*h[0]*float64(continued)/float64(partLength))
}

// addToSlot adds units to a slot of the window if they are positive.
func (u *windowUsage) addToSlot(number int64, units float64) {
	if units > 0 {
		*u.slotAt(number) += units
		u.total += units
	}
}

// timeUntilFree returns the time until the given units of the present use have left the
// window, or the window's length if it holds fewer.
func (u *windowUsage) timeUntilFree(units float64, now time.Time) time.Duration {
	u.advance(now)
	for number := u.newest - windowSlots; number <= u.newest; number++ {
		if units -= *u.slotAt(number); units <= 0 {
			left := time.Unix(0, (number+windowSlots+1)*int64(u.slotLength))
			return left.Sub(now)
		}
	}
	return u.slotLength * windowSlots
}
