package ingress

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/gateway/protocol"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/gateway/upstream"
	"sardinefront.dev/sched/reserve"
)

// reservationCodec reserves with POST and cancels with DELETE.
type reservationCodec struct{ protocol.Codec }

func (reservationCodec) ReserveRequest(string, int, time.Duration) protocol.Request {
	return protocol.Request{Method: http.MethodPost, URI: "/", Host: "target", Header: http.Header{}}
}

func (reservationCodec) ParseReservation(int, []byte) (string, error) { return "r", nil }

func (reservationCodec) ReleaseRequest(string, string) protocol.Request {
	return protocol.Request{Method: http.MethodDelete, URI: "/", Host: "target", Header: http.Header{}}
}

func (reservationCodec) ResponseInfo(int, http.Header) protocol.ResponseInfo {
	return protocol.ResponseInfo{}
}

type nopMetrics struct{ Metrics }

func (nopMetrics) CountReservation(string, string)  {}
func (nopMetrics) CountTargetClosed(string, string) {}
func (nopMetrics) CountRetryAfterRejected(string)   {}
func (nopMetrics) CountUnreadableLoad(string)       {}
func (nopMetrics) CountPaceHeldBack(string, int)    {}

type nopPeers struct{}

func (nopPeers) SendHeartbeat()           {}
func (nopPeers) OfferSlot(string, string) {}

// placementFixture returns an exchange whose service has one target, and that target. The target
// sends the address of each connection on which a reservation is cancelled.
func placementFixture(t *testing.T) (*exchange, *dispatch.Scheduler, directory.Target, chan string) {
	t.Helper()
	cancelled := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- r.RemoteAddr
		}
	}))
	t.Cleanup(server.Close)
	target := directory.Target{ID: "i", Service: "s", Address: server.Listener.Addr().String(), Slots: 1}
	table := routing.Compile(routing.Config{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{MaxReservationLifetime: time.Second}}}})
	log := slog.New(slog.DiscardHandler)
	schedulers := dispatch.NewSchedulers("z", log, nopPeers{}, nopMetrics{})
	schedulers.Update(table, []directory.Target{target})
	cfg := Config{Codec: reservationCodec{}, Schedulers: schedulers, Upstream: upstream.New(reservationCodec{}, time.Second, nil), Metrics: nopMetrics{}, Log: log}
	return &exchange{Server: New(cfg), table: table, service: "s"}, schedulers.Get("s"), target, cancelled
}

// acquire waits until the target's only slot is granted.
func acquire(t *testing.T, scheduler *dispatch.Scheduler) {
	t.Helper()
	now := time.Now()
	w := &reserve.Waiter{Request: &request.Request{ID: "r", Arrived: now, Deadline: now.Add(10 * time.Second)}, FirstByteTimeout: 10 * time.Second}
	if _, err := scheduler.Acquire(context.Background(), w, false); err != nil {
		t.Fatal(err)
	}
}

// Guards against a request whose connection fails at the end of another request that had returned
// the connection unused.
func TestReturnedPlacementIsIndependentOfItsRequest(t *testing.T) {
	x, scheduler, target, cancelled := placementFixture(t)
	acquire(t, scheduler)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, att := x.place(ctx, scheduler, target)
	if att != nil {
		t.Fatal(att.err)
	}
	x.release(scheduler, p)
	<-cancelled
	acquire(t, scheduler) // the release has ended

	next, err := x.cfg.Upstream.Get(context.Background(), target.Key(), target.Address, "next")
	if err != nil {
		t.Fatal(err)
	}
	if next != p.conn {
		t.Fatal("the connection was not returned to the pool")
	}
	next.BindContext(context.Background())
	cancel()
	time.Sleep(50 * time.Millisecond) // until functions that wait for the end of ctx have run
	if err := next.Send(x.cfg.Codec.ReserveRequest("i", 1, time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := next.Receive(http.MethodPost, "", 0)
	if err != nil {
		t.Fatal(err)
	}
	next.Release(resp, true)
}

// Guards against a reservation that stays at its target because the request for which it was made
// has ended.
func TestReservationOfAnEndedRequestIsCancelled(t *testing.T) {
	x, scheduler, target, cancelled := placementFixture(t)
	acquire(t, scheduler)
	ctx, cancel := context.WithCancel(context.Background())
	p, att := x.place(ctx, scheduler, target)
	if att != nil {
		t.Fatal(att.err)
	}
	cancel()
	x.release(scheduler, p)
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Error("the reservation was not cancelled")
	}
	acquire(t, scheduler)
}

// Guards against a request that is sent to more targets than its route allows, or counts as not run,
// because a response of another target was dropped when the silent one responded at the same time.
func TestDroppedResponseOfAnotherTargetCountsAsSend(t *testing.T) {
	x, scheduler, target, _ := placementFixture(t)
	acquire(t, scheduler)
	current := &placement{target: target}
	var err error
	if current.conn, err = x.cfg.Upstream.Get(context.Background(), target.Key(), target.Address, ""); err != nil {
		t.Fatal(err)
	}
	defer current.conn.Release(nil, false)
	x.sends = 1
	w := x.watchSilence(context.Background(), &dispatcher{scheduler: scheduler}, current)
	fired := make(chan struct{})
	w.armed, w.timer = true, time.AfterFunc(0, func() { close(fired) })
	<-fired
	s := &search{cancel: func() {}, done: make(chan struct{}), found: &placement{target: target, response: &upstream.Response{}}}
	close(s.done)
	w.searches <- s
	w.stop()
	if x.sends != 2 || !x.mayHaveRun {
		t.Errorf("%d sends, may have run: %t", x.sends, x.mayHaveRun)
	}
}

// Guards against a reservation at a target that another response has closed between the grant and
// the end of the connect.
func TestTargetClosedDuringTheConnectGetsNoReservation(t *testing.T) {
	for name, closing := range map[string]upstream.Observation{
		"back-off": {Status: http.StatusServiceUnavailable, Info: protocol.ResponseInfo{RetryAfter: "20"}},
		"leaving":  {Status: http.StatusOK, Info: protocol.ResponseInfo{Leaving: true}},
	} {
		t.Run(name, func(t *testing.T) {
			x, scheduler, target, _ := placementFixture(t)
			acquire(t, scheduler)
			closing.Target, closing.ReceivedAt = target.Key(), time.Now()
			x.cfg.Schedulers.RecordResponse(closing)
			if _, att := x.place(t.Context(), scheduler, target); att == nil || !att.targetClosed || att.sent {
				t.Errorf("attempt %+v, want one that ends because the target is closed", att)
			}
		})
	}
}
