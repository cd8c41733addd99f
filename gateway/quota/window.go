package quota

import "time"

// windowSlots is the number of slots of a window. One more is kept, since the newest
// is still open.
const windowSlots = 32

// usage is what was used in each slot of the last window.
type windowUsage struct {
	slotLength time.Duration // length of a slot
	slots      [windowSlots + 1]float64
	newest     int64 // number of the newest slot
	total      float64
}

func newWindowUsage(window time.Duration) *windowUsage {
	return &windowUsage{slotLength: max(time.Millisecond, window/windowSlots)}
}

// number returns that of the slot of a time.
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

// add counts units as used now. Negative ones are given back.
func (u *windowUsage) add(units float64, now time.Time) {
	u.advance(now)
	*u.slotAt(u.newest) += units
	u.total += units
}

// HistoryParts is the number of equal parts of a window that a history tells apart.
const HistoryParts = 4

// History is what was used of one quota in each part of the last window, the newest
// first.
type History [HistoryParts]float64

// history returns what was used in each part of the window.
func (u *windowUsage) history(now time.Time) History {
	u.advance(now)
	var h History
	for i := range int64(len(u.slots)) {
		h[min(HistoryParts-1, i*HistoryParts/windowSlots)] += *u.slotAt(u.newest - i)
	}
	return h
}

// unseenGrowth is how many times as fast as in the newest part of a history use may
// have gone on after it: a burst may have begun.
const unrecordedGrowth = 2

// raise makes the window hold at least a history of the given age. Each part counts as
// used at its end. Use is taken to have gone on for the unseen time after the history.
func (u *windowUsage) restore(h History, age, unrecorded time.Duration, now time.Time) {
	u.advance(now)
	part := u.slotLength * windowSlots / HistoryParts
	for i, units := range h {
		number := u.slotNumber(now.Add(-age - time.Duration(i)*part))
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
	u.addToSlot(u.slotNumber(now.Add(continued-age)), unrecordedGrowth*h[0]*float64(continued)/float64(part))
}

// put adds units to a slot of the window, if there are any.
func (u *windowUsage) addToSlot(number int64, units float64) {
	if units > 0 {
		*u.slotAt(number) += units
		u.total += units
	}
}

// freeAfter returns how long it takes until the units have left the window, as far as
// it holds as many.
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
