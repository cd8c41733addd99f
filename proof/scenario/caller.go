package scenario

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/proof/invariant"
	"sardinefront.dev/rules"
	"sardinefront.dev/standin/engine"
	"sardinefront.dev/standin/service"
)

// The ways in which a call ends for its caller.
const (
	endAnswered = "answered"
	endRefused  = "refused"
	endAccepted = "accepted"
	endFailed   = "failed" // the target's own error answer
	endCut      = "cut"    // an answer that ended early or did not begin
	endHungUp   = "left"   // the caller hung up
	// endUnreachable: no connection to the host could be opened.
	endUnreachable = "unreachable"
)

// callTimeout bounds a call, so that a scenario ends also if an answer never
// does.
const callTimeout = 40 * time.Second

// callSpec is a request as a scenario states it.
type callSpec struct {
	method, path, organisation, id string
	prompt, body                   string
	maxTokens                      int
	stream                         bool
	toEngine                       bool
	class                          rules.Class
}

// key is the request's id at the targets and its name in events: hosts put the
// organisation before the caller's id.
func (s *callSpec) qualifiedID() string { return s.organisation + "~" + s.id }

func (s *callSpec) isChat() bool { return strings.Contains(s.path, "/chat/") }

func (s *callSpec) messages() []engine.Message {
	return []engine.Message{{Role: "user", Content: s.prompt}}
}

// payload returns the body of the HTTP request.
func (s *callSpec) payload() []byte {
	if !s.toEngine {
		return []byte(s.body)
	}
	m := map[string]any{"max_tokens": s.maxTokens, "stream": s.stream}
	if s.isChat() {
		m["messages"] = s.messages()
	} else {
		m["prompt"] = s.prompt
	}
	b, _ := json.Marshal(m)
	return b
}

// expected returns the answer that the stand-in gives to this request.
func (s *callSpec) expected() string {
	if !s.toEngine {
		return service.ExpectedBody(s.qualifiedID(), s.method, s.path, s.payload())
	}
	if s.isChat() {
		return engine.ExpectedText(s.qualifiedID(), engine.ChatPrompt(s.messages()), s.maxTokens)
	}
	return engine.ExpectedText(s.qualifiedID(), s.prompt, s.maxTokens)
}

// call is one submission.
type call struct {
	spec   callSpec
	host   string
	hangUp context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	started bool // the first part of an answer has arrived
	end     string
	reason  string
	ran     string
	detail  string
}

func (c *call) ended() (end, reason, ran, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end, c.reason, c.ran, c.detail
}

func (c *call) hasStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// submit sends the request to the host in the background.
func (w *world) submit(spec callSpec, host string) *call {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	c := &call{spec: spec, host: host, hangUp: cancel, done: make(chan struct{})}
	w.rec.Record(invariant.Event{
		Kind: invariant.Submitted, Host: host, Request: spec.qualifiedID(), Tier: spec.class.Tier, Effect: spec.class.Effect,
		Pool: spec.class.Pool, Digest: digest(spec.expected()),
	})
	w.calls.Go(func() {
		defer close(c.done)
		defer cancel()
		w.recordResult(c, w.sendCall(ctx, c))
	})
	return c
}

// ending is how one call ended.
type callResult struct {
	end, reason, ran, detail string
	text                     string
}

func (w *world) sendCall(ctx context.Context, c *call) callResult {
	s := &c.spec
	req, err := http.NewRequestWithContext(ctx, s.method, "http://"+w.hosts.get(c.host).callerAddress()+s.path, bytes.NewReader(s.payload()))
	if err != nil {
		return callResult{end: endCut, detail: err.Error()}
	}
	req.Header.Set("X-Organisation", s.organisation)
	req.Header.Set("Idempotency-Key", s.id)
	resp, err := w.hosts.get(c.host).client.Do(req)
	if err != nil {
		return transportFailure(ctx, err)
	}
	defer resp.Body.Close()
	return c.readResponse(ctx, resp)
}

func transportFailure(ctx context.Context, err error) callResult {
	var op *net.OpError
	switch {
	case ctx.Err() == context.Canceled:
		return callResult{end: endHungUp}
	case errors.As(err, &op) && op.Op == "dial":
		return callResult{end: endUnreachable, detail: err.Error()}
	}
	return callResult{end: endCut, detail: err.Error()}
}

// read classifies a response and reads it to its end.
func (c *call) readResponse(ctx context.Context, resp *http.Response) callResult {
	if reason := resp.Header.Get("Sardinefront-Reason"); reason != "" {
		body, _ := io.ReadAll(resp.Body)
		return callResult{end: endRefused, reason: reason, ran: resp.Header.Get("Sardinefront-Ran"), detail: string(body)}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		body, _ := io.ReadAll(resp.Body)
		return callResult{end: endFailed, detail: fmt.Sprintf("status %d: %s", resp.StatusCode, body)}
	}
	text, err := c.readText(resp)
	switch {
	case err != nil:
		return transportFailure(ctx, err)
	case resp.StatusCode == http.StatusAccepted && c.spec.class.Tier == request.Patient:
		return callResult{end: endAccepted, detail: text}
	}
	return callResult{end: endAnswered, text: text}
}

// readText returns the generated text of an engine's answer or the body of a
// service's.
func (c *call) readText(resp *http.Response) (string, error) {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return c.readStream(resp.Body)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || !c.spec.toEngine || resp.StatusCode == http.StatusAccepted {
		return string(body), err
	}
	return answerText(body), nil
}

// readEvents joins the parts of a stream, which must end in its terminal event.
func (c *call) readStream(r io.Reader) (string, error) {
	var text strings.Builder
	complete := false
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		c.mu.Lock()
		c.started = true
		c.mu.Unlock()
		if data == "[DONE]" {
			complete = true
			continue
		}
		text.WriteString(answerText([]byte(data)))
	}
	if err := lines.Err(); err != nil {
		return text.String(), err
	}
	if !complete {
		return text.String(), io.ErrUnexpectedEOF
	}
	return text.String(), nil
}

// answerText extracts the text of a completion. A body in another form is
// returned as it is, so that its digest cannot match.
func answerText(body []byte) string {
	type message struct {
		Content string `json:"content"`
	}
	var a struct {
		Choices []struct {
			Text           *string
			Message, Delta *message
		}
	}
	if json.Unmarshal(body, &a) != nil || len(a.Choices) != 1 {
		return string(body)
	}
	switch ch := a.Choices[0]; {
	case ch.Text != nil:
		return *ch.Text
	case ch.Message != nil:
		return ch.Message.Content
	case ch.Delta != nil:
		return ch.Delta.Content
	}
	return string(body)
}

// finish stores and records how the call ended.
func (w *world) recordResult(c *call, e callResult) {
	c.mu.Lock()
	c.end, c.reason, c.ran, c.detail = e.end, e.reason, e.ran, e.detail
	c.mu.Unlock()
	ev := invariant.Event{Host: c.host, Request: c.spec.qualifiedID(), Tier: c.spec.class.Tier, Pool: c.spec.class.Pool}
	switch e.end {
	case endAnswered:
		ev.Kind, ev.Digest = invariant.Answered, digest(e.text)
	case endAccepted:
		ev.Kind = invariant.Accepted
	case endCut:
		ev.Kind = invariant.ConnectionCut
	case endRefused:
		ev.Kind, ev.Reason, ev.RunState = invariant.Refused, e.reason, parseRunState(e.ran)
		if overloadReasons[e.reason] && ev.RunState == refusal.NotRun {
			shed := ev
			shed.Kind = invariant.Shed
			w.rec.Record(shed)
		}
	default:
		return
	}
	w.rec.Record(ev)
}

// overload holds the reasons of refusals that follow from a lack of capacity.
var overloadReasons = map[string]bool{"shed": true, "queue-full": true}

func parseRunState(s string) refusal.RunState {
	for _, r := range []refusal.RunState{refusal.NotRun, refusal.RunCompleted} {
		if r.String() == s {
			return r
		}
	}
	return refusal.RunUnknown
}

func digest(text string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, text)
	return h.Sum64()
}
