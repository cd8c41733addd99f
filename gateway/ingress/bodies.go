package ingress

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"sardinefront.dev/gateway/connlimit"
)

const (
	// firstBodyBytes is the size of the buffer before the first byte of a body has arrived.
	firstBodyBytes = 4 << 10
	// minBudgetBodies is the number of bodies of the configured size for which there is always room.
	minBudgetBodies = 4
	// bodyStallTime is how long a body may be without a byte.
	bodyStallTime = 10 * time.Second
	// minBodyRate is the least average rate of a body after bodyStallTime, in bytes per second.
	minBodyRate = 1 << 10
)

// errBodyGaveWay is returned for a body whose memory was needed, or for which there is none.
var errBodyGaveWay = errors.New("the memory for request bodies is used up")

// bodyBudget bounds the memory of the request bodies of all callers. If it is used up, the unfinished
// body that has been without progress for longest gives way. It is safe for concurrent use.
type bodyBudget struct {
	limit int64 // bytes

	mu   sync.Mutex
	used int64
	// pending is the part of used that bodies which have given way are about to release.
	pending    int64
	released   sync.Cond
	unfinished map[*bodyUsage]struct{}
}

// bodyUsage is the part of a budget that one body holds. Its fields are guarded by the budget's mu.
type bodyUsage struct {
	held         int64
	lastProgress time.Time
	gaveWay      bool
	// setReadDeadline is that of the connection.
	setReadDeadline func(time.Time) error
}

func newBodyBudget(limit int64) *bodyBudget {
	b := &bodyBudget{limit: limit, unfinished: map[*bodyUsage]struct{}{}}
	b.released.L = &b.mu
	return b
}

// Used returns the bytes held by all bodies.
func (b *bodyBudget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// grow records that an unfinished body needs a buffer of size bytes, where maxBody is the largest
// allowed body. It reports false if the body has to give way.
func (b *bodyBudget) grow(u *bodyUsage, size, maxBody int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.gaveWay {
		return false
	}
	u.lastProgress = now
	b.unfinished[u] = struct{}{}
	limit := max(b.limit, minBudgetBodies*maxBody)
	for b.used+size-u.held > limit {
		if b.used-b.pending+size-u.held <= limit {
			b.released.Wait()
		} else if victim := b.longestStalled(u); victim != nil {
			b.giveWay(victim)
		} else {
			return false
		}
		if u.gaveWay {
			return false
		}
	}
	b.used += size - u.held
	u.held = size
	return true
}

// longestStalled returns the unfinished body other than u that has been without progress for longest;
// nil if there is none. The caller holds b.mu.
func (b *bodyBudget) longestStalled(u *bodyUsage) *bodyUsage {
	var found *bodyUsage
	for o := range b.unfinished {
		if o != u && (found == nil || o.lastProgress.Before(found.lastProgress)) {
			found = o
		}
	}
	return found
}

// giveWay makes the reader of a body end and release its memory. The caller holds b.mu.
func (b *bodyBudget) giveWay(u *bodyUsage) {
	u.gaveWay = true
	b.pending += u.held
	delete(b.unfinished, u)
	b.released.Broadcast()                 // it may wait for memory itself
	_ = u.setReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// awaitBytes sets the deadline of the next read. It reports false if the body has given way.
func (b *bodyBudget) awaitBytes(u *bodyUsage, deadline time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.gaveWay {
		return false
	}
	_ = u.setReadDeadline(deadline) // an error means a connection without deadlines
	return true
}

// progress records that bytes of the body have arrived.
func (b *bodyBudget) progress(u *bodyUsage, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.lastProgress = now
}

// finish records that the body is complete. It reports false if the body has given way.
func (b *bodyBudget) finish(u *bodyUsage) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.unfinished, u)
	return !u.gaveWay
}

// release gives back the memory of a body.
func (b *bodyBudget) release(u *bodyUsage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.unfinished, u)
	if u.gaveWay {
		b.pending -= u.held
	}
	b.used -= u.held
	u.held = 0
	b.released.Broadcast()
}

// nextBytesDeadline returns the time until which the next bytes of a body have to arrive, which does
// not depend on what the caller states.
func nextBytesDeadline(begun, now time.Time, received int) time.Time {
	stalled := now.Add(bodyStallTime)
	slow := begun.Add(bodyStallTime + time.Duration(received)*time.Second/minBodyRate)
	if slow.Before(stalled) {
		return slow
	}
	return stalled
}

// receiveBody reads at most limit+1 bytes of the body into a buffer that grows as bytes arrive.
func (x *exchange) receiveBody(connection *http.ResponseController, limit int64) ([]byte, error) {
	connlimit.SetReceiving(x.r.Context(), true)
	defer connlimit.SetReceiving(x.r.Context(), false)
	b, u := x.bodies, &x.bodyUsage
	u.setReadDeadline = connection.SetReadDeadline
	end := limit + 1
	if n := x.r.ContentLength; n >= 0 {
		end = n
	}
	begun, size := time.Now(), min(firstBodyBytes, end)
	if !b.grow(u, size, limit, begun) {
		return nil, errBodyGaveWay
	}
	body := make([]byte, 0, size)
	for int64(len(body)) < end {
		now := time.Now()
		if len(body) == cap(body) {
			size = min(2*size, end)
			if !b.grow(u, size, limit, now) {
				return body, errBodyGaveWay
			}
			body = append(make([]byte, 0, size), body...)
		}
		deadline := nextBytesDeadline(begun, now, len(body))
		if x.deadline.Before(deadline) {
			deadline = x.deadline
		}
		if !b.awaitBytes(u, deadline) {
			return body, errBodyGaveWay
		}
		n, err := x.r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		b.progress(u, time.Now())
		if err == io.EOF {
			break
		}
		if err != nil {
			if !b.finish(u) {
				err = errBodyGaveWay
			}
			return body, err
		}
	}
	if !b.finish(u) {
		return body, errBodyGaveWay
	}
	return body, nil
}
