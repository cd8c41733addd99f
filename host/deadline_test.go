package host

import (
	"net/http"
	"os"
	"strings"
	"testing"

	"sardinefront.dev/host/settings"
	"sardinefront.dev/standin/engine"
)

// Guards against a sound engine that is ejected because completions that are not streamed take longer
// than their deadlines, while it sends the events of other streams.
func TestShortDeadlinesDoNotEjectAStreamingEngine(t *testing.T) {
	f := newFixture(t, engine.Config{TokensPerSecond: 20}, func(s *settings.Settings) {
		const general = "call POST /llm/** "
		rules := strings.Replace(testRules, general, "call POST /llm/short/** is urgent, answer within 1s  # Ola\n"+general, 1)
		if err := os.WriteFile(s.Rules.File, []byte(rules), 0o600); err != nil {
			t.Fatal(err)
		}
	})
	streamed := make(chan error, 1)
	go func() {
		_, _, err := f.send(t, t.Context(), "POST", "/llm/x", "stream", `{"prompt":"p","max_tokens":120,"stream":true}`)
		streamed <- err
	}()
	eventually(t, "the engine runs the stream", func() bool { return f.engine.RunCounts()["a~stream"] == 1 })
	for _, id := range []string{"c1", "c2", "c3"} {
		resp, text, err := f.send(t, t.Context(), "POST", "/llm/short/x", id, `{"prompt":"p","max_tokens":30}`)
		if err != nil || resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(headerRan) != "unknown" {
			t.Fatalf("response %+v, error %v, body %s", resp, err, text)
		}
	}
	for _, p := range f.host.Status().Pools {
		if p.Ejected != 0 {
			t.Errorf("pool %s: %d targets ejected", p.Name, p.Ejected)
		}
	}
	if err := <-streamed; err != nil {
		t.Error(err)
	}
}
