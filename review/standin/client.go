package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id, kind, host string
	sent, answered time.Time
	status         int // 0: no complete answer
	served         bool
}

// clients sends requests at an even rate, each with an id of its own.
type clients struct {
	mu      sync.Mutex
	answers []answer
	wg      sync.WaitGroup
	started time.Time
}

// load describes the requests of one kind to one host.
type load struct {
	kind, method, hostHeader, path, key string
	perS                                float64
	deadline                            time.Duration
}

// run sends requests until the context ends.
func (c *clients) run(ctx context.Context, h *host, l load) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	t := time.NewTicker(time.Duration(float64(time.Second) / l.perS))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.send(client, h, l)
			}()
		}
	}
}

func (c *clients) send(client *http.Client, h *host, l load) {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64()), kind: l.kind, host: h.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), l.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, l.method, h.url()+l.path+a.id, nil)
	check(err)
	r.Host = l.hostHeader
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Request-Deadline", fmt.Sprint(l.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+l.key)
	resp, err := client.Do(r)
	if err == nil {
		body, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		if readErr == nil {
			a.status = resp.StatusCode
			a.served = a.status == 200 && resp.Header.Get("Server-Stamp") != "" && strings.HasPrefix(string(body), a.id)
		}
	}
	a.answered = time.Now()
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
}

// share returns the number of requests of a kind ("" for all) sent in a period, and the share of
// them that was served.
func (c *clients) share(kind string, from, to time.Time) (n int, served float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := 0
	for _, a := range c.answers {
		if (kind == "" || a.kind == kind) && !a.sent.Before(from) && a.sent.Before(to) {
			n++
			if a.served {
				ok++
			}
		}
	}
	return n, float64(ok) / float64(max(1, n))
}

// statuses counts the answers of a kind by status.
func (c *clients) statuses(kind string, from, to time.Time) map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[int]int{}
	for _, a := range c.answers {
		if a.kind == kind && !a.sent.Before(from) && a.sent.Before(to) {
			out[a.status]++
		}
	}
	return out
}
