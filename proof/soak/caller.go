package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sardinefront.dev/standin/fleetuser"
)

// exchange is one request of a caller and what came of it.
type exchange struct {
	call        fleetuser.Request
	host        *entryHost
	dialled     time.Time // start of its connection
	sent, ended time.Time
	answer      fleetuser.Response
	err         error
}

// ledger collects the exchanges of all callers.
type ledger struct {
	mu   sync.Mutex
	list []exchange
}

func (l *ledger) add(x exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, x)
}

func (l *ledger) all() []exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]exchange(nil), l.list...)
}

const (
	// thinkTime is the pause of a caller between two requests, at most.
	thinkTime = 25 * time.Millisecond
	// callerGrace is how long a caller listens beyond its patience.
	callerGrace = 3 * time.Second
	dialTimeout = 500 * time.Millisecond
)

// kinds of requests, in the order in which callers draw them.
var kinds = []struct{ method, path string }{
	{http.MethodPost, fleetuser.PathResumableStream},
	{http.MethodPost, fleetuser.PathResumableStream},
	{http.MethodPost, fleetuser.PathOneAttemptStream},
	{http.MethodPost, fleetuser.PathUnsafe},
	{http.MethodPost, fleetuser.PathUnsafe},
	{http.MethodGet, fleetuser.PathSafe},
}

// runCaller sends requests one after another until ctx ends. It keeps its connection
// for as long as the host does, also while the host is stopping.
func (w *world) runCaller(ctx context.Context, number int) {
	rnd := rand.New(rand.NewPCG(w.seed, uint64(number)))
	var c *fleetuser.CallerConn
	var h *entryHost
	var dialled time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			h = w.hosts[rnd.IntN(len(w.hosts))]
			dialled = time.Now()
			var err error
			if c, err = fleetuser.Dial(h.callerLink.address(), dialTimeout); err != nil {
				c = nil
				continue
			}
		}
		k := kinds[rnd.IntN(len(kinds))]
		x := exchange{host: h, dialled: dialled, sent: time.Now(), call: fleetuser.Request{
			ID: fmt.Sprintf("r-%d-%d", number, n), Method: k.method, Path: k.path + "x", Body: "prompt",
			Timeout: time.Duration(1500+rnd.IntN(800)) * time.Millisecond,
		}}
		x.answer, x.err = c.Do(x.call, callerGrace)
		x.ended = time.Now()
		w.ledger.add(x)
		if x.err != nil || x.answer.Close {
			c.Close()
			c = nil
		}
		if x.answer.Status == http.StatusServiceUnavailable || x.answer.Status == 0 {
			time.Sleep(20 * time.Millisecond) // not to spin on a host that is down
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(thinkTime))))
	}
	if c != nil {
		c.Close()
	}
}
