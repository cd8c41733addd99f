package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/sched/quarantine"
	"sardinefront.dev/sched/reserve"
)

// crashProbeTimeout bounds the connect that distinguishes a crashed target, which refuses it,
// from a broken connection.
const crashProbeTimeout = 150 * time.Millisecond

// sharedParts returns the ids of the prompt's parts that other requests may hold too. The last
// part belongs to the request or its session.
func (x *exchange) sharedParts() []string {
	if len(x.info.PromptParts) < 2 {
		return nil
	}
	out := make([]string, 0, len(x.info.PromptParts)-1)
	for _, p := range x.info.PromptParts[:len(x.info.PromptParts)-1] {
		out = append(out, p.ID)
	}
	return out
}

// checkParts returns a refusal if the prompt has a part that crashes targets. A trial passes until
// it has been sent once.
func (x *exchange) checkParts() *refusal.Refusal {
	if x.partsTrial && x.sends == 0 {
		return nil
	}
	id, verdict := x.cfg.Parts.Check(x.service, x.sharedParts(), time.Now())
	x.partsTrial = verdict == quarantine.Trial && x.sends == 0
	if verdict == quarantine.Allowed || x.partsTrial {
		return nil
	}
	return refusal.New(refusal.PromptPartQuarantined, "requests with the prompt part %s crash targets of %s", id, x.service)
}

// recordBegun records that the response to the last send has begun, if it is a success.
func (x *exchange) recordBegun(status int) {
	if x.began || status != http.StatusOK {
		return
	}
	x.began = true
	x.cfg.Parts.RecordSuccess(x.service, x.sharedParts(), time.Now())
}

// recordCrash attributes a crash of the target to the prompt's parts if the crash ended the attempt
// before the response began.
func (x *exchange) recordCrash(scheduler *dispatch.Scheduler, target directory.Target, att attempt) {
	if att.status != failed || att.outcome != reserve.BrokenResponse || x.began || target.Draining || !connectionClosed(att.err) {
		return
	}
	parts := x.sharedParts()
	if len(parts) == 0 || !scheduler.IsOpen(target) {
		return
	}
	crashedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	if x.cfg.Upstream.ConnectionRefused(ctx, target.Key(), target.Address) {
		x.cfg.Parts.RecordCrash(x.service, parts, target.Key(), x.sentAt, crashedAt)
	}
}

// connectionClosed reports whether the target closed or reset the connection.
func connectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
