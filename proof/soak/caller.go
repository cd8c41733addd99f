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
	request         fleetuser.Request
	host            *entryHost
	dialedAt        time.Time // start of its connection
	sentAt, endedAt time.Time
	response        fleetuser.Response
	err             error
}

// ledger collects the exchanges of all callers.
type exchangeLog struct {
	mu   sync.Mutex
	list []exchange
}

func (l *exchangeLog) add(x exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, x)
}

func (l *exchangeLog) snapshot() []exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]exchange(nil), l.list...)
}

const (
	// thinkTime is the pause of a caller between two requests, at most.
	maxThinkTime = 25 * time.Millisecond
	// callerGrace is how long a caller listens beyond its patience.
	callerGrace = 3 * time.Second
	dialTimeout = 500 * time.Millisecond
)

// kinds of requests, in the order in which callers draw them.
var requestKinds = []struct{ method, path string }{
	{http.MethodPost, fleetuser.PathResumableStream},
	{http.MethodPost, fleetuser.PathResumableStream},
	{http.MethodPost, fleetuser.PathOneAttemptStream},
	{http.MethodPost, fleetuser.PathUnsafe},
	{http.MethodPost, fleetuser.PathUnsafe},
	{http.MethodGet, fleetuser.PathSafe},
}

// runCaller sends requests one after another until ctx ends. It keeps its connection
// for as long as the host does, also while the host is stopping.
func (w *world) runCaller(ctx context.Context, index int) {
	rnd := rand.New(rand.NewPCG(w.seed, uint64(index)))
	var c *fleetuser.CallerConn
	var h *entryHost
	var dialedAt time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			h = w.hosts[rnd.IntN(len(w.hosts))]
			dialedAt = time.Now()
			var err error
			if c, err = fleetuser.Dial(h.callerLink.listenAddress(), dialTimeout); err != nil {
				c = nil
				continue
			}
		}
		k := requestKinds[rnd.IntN(len(requestKinds))]
		x := exchange{host: h, dialedAt: dialedAt, sentAt: time.Now(), request: fleetuser.Request{
			ID: fmt.Sprintf("r-%d-%d", index, n), Method: k.method, Path: k.path + "x", Body: "prompt",
			Timeout: time.Duration(1500+rnd.IntN(800)) * time.Millisecond,
		}}
		x.response, x.err = c.Do(x.request, callerGrace)
		x.endedAt = time.Now()
		w.exchanges.add(x)
		if x.err != nil || x.response.Close {
			c.Close()
			c = nil
		}
		if x.response.Status == http.StatusServiceUnavailable || x.response.Status == 0 {
			time.Sleep(20 * time.Millisecond) // not to spin on a host that is down
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(maxThinkTime))))
	}
	if c != nil {
		c.Close()
	}
}
