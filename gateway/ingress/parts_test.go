package ingress

import (
	"log/slog"
	"testing"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/gateway/promptparts"
	"sardinefront.dev/gateway/protocol"
)

// singleHost is a fleet of one host.
type singleHost struct{}

func (singleHost) SendHeartbeat()            { /* there are no peers */ }
func (singleHost) SendHeartbeatToAll()       { /* there are no peers */ }
func (singleHost) Hosts() (string, []string) { return "h", []string{"h"} }
func (singleHost) CountPromptPart(string)    { /* counts are not tested */ }

// Guards against a trial that is refused when it leaves the queue, so that a quarantine never ends,
// and against a second send of a trial.
func TestTrialOfPromptPartIsSentOnce(t *testing.T) {
	guard := promptparts.New(singleHost{}, singleHost{}, slog.New(slog.DiscardHandler))
	crashed := time.Now().Add(-2 * time.Minute)
	guard.RecordSuccess("s", nil, crashed)
	for i := range 3 {
		at := crashed.Add(time.Duration(i) * time.Second)
		guard.RecordCrash("s", []string{"bad"}, string(rune('a'+i)), at.Add(-time.Millisecond), at)
	}
	server := New(Config{Parts: guard})
	newExchange := func() *exchange {
		return &exchange{Server: server, service: "s", info: protocol.RequestInfo{PromptParts: []protocol.PromptPart{{ID: "bad"}, {ID: "own"}}}}
	}
	trial, other := newExchange(), newExchange()
	for _, step := range []string{"at admission", "after the queue"} {
		if ref := trial.checkParts(); ref != nil {
			t.Errorf("the trial is refused %s: %v", step, ref)
		}
	}
	if ref := other.checkParts(); ref == nil || ref.Reason != refusal.PromptPartQuarantined {
		t.Errorf("a second trial at the same time: %v", ref)
	}
	trial.sends = 1
	if ref := trial.checkParts(); ref == nil {
		t.Error("the trial may be sent again")
	}
}
