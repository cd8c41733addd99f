package quota

import "time"

// windowSlots is the number of slots of a window. One more is kept, since the newest
// is still open.
const windowSlots = 32

// usage is what was used in each slot of the last window.
type usage struct {
	slot   time.Duration // length of a slot
	slots  [windowSlots + 1]float64
	newest int64 // number of the newest slot
	total  float64
}

func newUsage(window time.Duration) *usage {
	return &usage{slot: max(time.Millisecond, window/windowSlots)}
}

// number returns that of the slot of a time.
func (u *usage) number(now time.Time) int64 { return now.UnixNano() / int64(u.slot) }

func (u *usage) at(number int64) *float64 {
	return &u.slots[uint64(number)%uint64(len(u.slots))]
}

// advance drops the slots that have left the window.
func (u *usage) advance(now time.Time) {
	number := u.number(now)
	if number <= u.newest {
		return
	}
	u.newest = max(u.newest, number-int64(len(u.slots)))
	for u.newest < number {
		u.newest++
		*u.at(u.newest) = 0
	}
	u.total = 0
	for _, s := range u.slots {
		u.total += s
	}
}

// add counts units as used now. Negative ones are given back.
func (u *usage) add(units float64, now time.Time) {
	u.advance(now)
	*u.at(u.newest) += units
	u.total += units
}

// HistoryParts is the number of equal parts of a window that a history tells apart.
const HistoryParts = 4

// History is what was used of one quota in each part of the last window, the newest
// first.
type History [HistoryParts]float64

// history returns what was used in each part of the window.
func (u *usage) history(now time.Time) History {
	u.advance(now)
	var h History
	for i := range int64(len(u.slots)) {
		h[min(HistoryParts-1, i*HistoryParts/windowSlots)] += *u.at(u.newest - i)
	}
	return h
}

// unseenGrowth is how many times as fast as in the newest part of a history use may
// have gone on after it: a burst may have begun.
const unseenGrowth = 2

// raise makes the window hold at least a history of the given age. Each part counts as
// used at its end. Use is taken to have gone on for the unseen time after the history.
func (u *usage) raise(h History, age, unseen time.Duration, now time.Time) {
	u.advance(now)
	part := u.slot * windowSlots / HistoryParts
	for i, units := range h {
		number := u.number(now.Add(-age - time.Duration(i)*part))
		if number <= u.newest-int64(len(u.slots)) || number > u.newest {
			continue
		}
		have := 0.0
		for n := number; n > number-windowSlots/HistoryParts && n > u.newest-int64(len(u.slots)); n-- {
			have += *u.at(n)
		}
		u.put(number, units-have)
	}
	went := min(age, unseen)
	u.put(u.number(now.Add(went-age)), unseenGrowth*h[0]*float64(went)/float64(part))
}

// put adds units to a slot of the window, if there are any.
func (u *usage) put(number int64, units float64) {
	if units > 0 {
		*u.at(number) += units
		u.total += units
	}
}

// freeAfter returns how long it takes until the units have left the window, as far as
// it holds as many.
func (u *usage) freeAfter(units float64, now time.Time) time.Duration {
	u.advance(now)
	for number := u.newest - windowSlots; number <= u.newest; number++ {
		if units -= *u.at(number); units <= 0 {
			left := time.Unix(0, (number+windowSlots+1)*int64(u.slot))
			return left.Sub(now)
		}
	}
	return u.slot * windowSlots
}
