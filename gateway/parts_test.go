package gateway_test

import (
	"strings"
	"testing"

	"sardinefront.dev/standin/slotengine"
)

// Guards against requests with a part of a prompt that crashes one target after the other, and
// against refusals of sound requests that share their other parts and their key.
func TestPromptPartThatCrashesTargetsIsQuarantined(t *testing.T) {
	const engines, deadlyRequests, allowedCrashes = 8, 6, 3
	fx := newFixture(t)
	for range engines {
		fx.addServer(engineName, slotengine.Config{StreamEvents: 3, ResponseDelay: shortPause, CrashOnPart: "bad"})
	}
	fx.startHost()
	fx.call("POST", pathStream, "prompt", "Prompt-Prefix: shared:800,good:410,other:250")
	var last response
	for range deadlyRequests {
		last = fx.call("POST", pathStream, "prompt", "Prompt-Prefix: shared:800,bad:410,own:250")
	}
	crashed := 0
	for _, s := range fx.servers {
		for _, run := range s.Runs() {
			if strings.Contains(run.Header.Get("Prompt-Prefix"), "bad:") {
				crashed++
			}
		}
	}
	if crashed != allowedCrashes {
		t.Errorf("%d engines crashed, want %d", crashed, allowedCrashes)
	}
	if last.status != 503 || last.header.Get("Sardinefront-Reason") != "prompt-part-quarantined" || last.header.Get("Sardinefront-Ran") != "not-run" || last.header.Get("Retry-After") == "" {
		t.Errorf("refusal %+v", last)
	}
	for range 3 {
		if sound := fx.call("POST", pathStream, "prompt", "Prompt-Prefix: shared:800,good:410,other:250"); sound.status != 200 || sound.body != streamEvents(1, 3) {
			t.Errorf("sound request: %+v", sound)
		}
	}
	if deadly := fx.call("POST", pathStream, "prompt", "Prompt-Prefix: bad:410,other:250"); deadly.status != 503 {
		t.Errorf("request with the part alone: %+v", deadly)
	}
	if !fx.log.contains("prompt part quarantined") {
		t.Error("the quarantine was not logged")
	}
}

// Guards against a quarantine after broken connections of targets that go on: garbled, truncated
// and lost responses are no crashes.
func TestBrokenResponsesAreNoCrashes(t *testing.T) {
	fx := newFixture(t)
	for range 2 {
		fx.addServer(engineName, slotengine.Config{StreamEvents: 3, ResponseDelay: shortPause})
	}
	fx.startHost()
	for range 6 {
		for _, s := range fx.servers {
			s.InjectFaults(slotengine.Disconnect)
		}
		fx.call("POST", pathStream, "prompt", "Prompt-Prefix: shared:800,own:250")
	}
	if fx.log.contains("prompt part") {
		t.Error("a part was suspected")
	}
}
