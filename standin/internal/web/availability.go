package web

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"sardinefront.dev/target"
)

// PushBack is a time in which a server turns all requests away with status 503. POST
// /standin/push-back accepts it as JSON.
type PushBack struct {
	// DurationMS is the duration in milliseconds; 0 ends the push-back.
	DurationMS int `json:"duration_ms"`
	// AsDate sends Retry-After as a date instead of seconds.
	AsDate bool `json:"as_date,omitempty"`
	// RetryAfter, if set, is sent instead of the time left.
	RetryAfter string `json:"retry_after,omitempty"`
	// Unstated leaves out the statement that the request was not run.
	Unstated bool `json:"unstated,omitempty"`
}

// Availability is what a server states in its responses about its leaving and about back-offs
// that it asks for. Its methods are safe for concurrent use.
type Availability struct {
	startedUnixMs int64

	mu       sync.Mutex
	leaving  bool
	pushBack PushBack
	until    time.Time
	rejected int
	late     int
	firstAt  time.Time // of the first rejection of the current push-back
}

// NewAvailability returns the availability of a server that starts now.
func NewAvailability() *Availability { return &Availability{startedUnixMs: time.Now().UnixMilli()} }

// SetLeaving makes all responses state that the server is leaving, while it goes on serving.
func (a *Availability) SetLeaving(leaving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = leaving
}

// SetPushBack starts a push-back, which replaces a running one.
func (a *Availability) SetPushBack(p PushBack) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pushBack, a.until = p, time.Now().Add(time.Duration(p.DurationMS)*time.Millisecond)
	a.firstAt = time.Time{}
}

// pushBackReaction is how long after the first rejection of a push-back senders may take to
// stop.
const pushBackReaction = 500 * time.Millisecond

// Rejected returns how many requests were turned away so far, and how many of them more than
// pushBackReaction after the first one of their push-back.
func (a *Availability) Rejected() (all, late int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rejected, a.late
}

// Register adds the control routes and the middleware that states the availability in every
// response. It must be called before the other routes are added.
func (a *Availability) Register(app *fiber.App) {
	app.Post("/standin/leaving", func(c fiber.Ctx) error {
		var leaving bool
		if err := json.Unmarshal(c.Body(), &leaving); err != nil {
			return c.Status(http.StatusBadRequest).SendString(err.Error())
		}
		a.SetLeaving(leaving)
		return nil
	})
	app.Post("/standin/push-back", func(c fiber.Ctx) error {
		var p PushBack
		if err := json.Unmarshal(c.Body(), &p); err != nil {
			return c.Status(http.StatusBadRequest).SendString(err.Error())
		}
		a.SetPushBack(p)
		return nil
	})
	app.Use(a.handle)
}

func (a *Availability) handle(c fiber.Ctx) error {
	if strings.HasPrefix(Path(c), "/standin/") {
		return c.Next()
	}
	leaving, p, retryAfter := a.next(time.Now())
	c.Set(target.HeaderStarted, strconv.FormatInt(a.startedUnixMs, 10))
	if leaving {
		c.Set(target.HeaderLeaving, "1")
	}
	if retryAfter == "" {
		return c.Next()
	}
	if id := Header(c, target.HeaderRequestID); id != "" {
		c.Set(target.HeaderRequestID, id)
	}
	if !p.Unstated {
		c.Set(target.HeaderNotRun, "1")
	}
	c.Set(fiber.HeaderRetryAfter, retryAfter)
	return c.Status(http.StatusServiceUnavailable).SendString("not now")
}

// next returns what the response to a request that arrives now states. retryAfter is empty
// without a push-back.
func (a *Availability) next(now time.Time) (leaving bool, p PushBack, retryAfter string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	left := a.until.Sub(now)
	if left <= 0 {
		return a.leaving, a.pushBack, ""
	}
	a.rejected++
	if a.firstAt.IsZero() {
		a.firstAt = now
	}
	if now.Sub(a.firstAt) > pushBackReaction {
		a.late++
	}
	switch {
	case a.pushBack.RetryAfter != "":
		retryAfter = a.pushBack.RetryAfter
	case a.pushBack.AsDate:
		retryAfter = a.until.Add(time.Second - 1).UTC().Format(http.TimeFormat) // rounded up
	default:
		retryAfter = strconv.Itoa(int((left + time.Second - 1) / time.Second))
	}
	return a.leaving, a.pushBack, retryAfter
}
