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

// exchange is one request of a caller and its response or error.
type exchange struct {
	request         fleetuser.Request
	host            *entryHost
	dialedAt        time.Time // when its connection was opened
	sentAt, endedAt time.Time
	response        fleetuser.Response
	err             error
}

// exchangeLog collects the exchanges of all callers. It is safe for concurrent use.
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
	// maxThinkTime is the longest pause of a caller between two requests.
	maxThinkTime = 25 * time.Millisecond
	// callerGrace is how long a caller keeps reading after the timeout of its request.
	callerGrace = 3 * time.Second
	dialTimeout = 500 * time.Millisecond
)

// requestKinds are the requests that callers choose from at random. A kind that is
// listed twice is twice as frequent.
var requestKinds = []struct{ method, path string }{
	{http.MethodPost, fleetuser.PathResumableStream},
	{http.MethodPost, fleetuser.PathResumableStream},
	{http.MethodPost, fleetuser.PathOneAttemptStream},
	{http.MethodPost, fleetuser.PathUnsafe},
	{http.MethodPost, fleetuser.PathUnsafe},
	{http.MethodGet, fleetuser.PathSafe},
}

// runCaller sends requests one after another until ctx ends. It reuses its connection
// until an error or until the host asks to close it, also while the host is stopping.
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
			time.Sleep(20 * time.Millisecond) // avoids a busy loop while the host is down
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(maxThinkTime))))
	}
	if c != nil {
		c.Close()
	}
}
