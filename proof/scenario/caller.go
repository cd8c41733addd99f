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

// The results of a call as its caller observes them.
const (
	endAnswered = "answered"
	endRefused  = "refused"
	endAccepted = "accepted"
	endFailed   = "failed" // an error response of the target
	endCut      = "cut"    // the response ended early or did not start
	endHungUp   = "left"   // the caller cancelled the call
	// endUnreachable: the connection to the host could not be opened.
	endUnreachable = "unreachable"
)

// callTimeout bounds a call, so that a scenario ends even if a response never does.
const callTimeout = 40 * time.Second

// callSpec describes a request of a scenario.
type callSpec struct {
	method, path, organisation, id string
	prompt, body                   string
	maxTokens                      int
	stream                         bool
	toEngine                       bool
	class                          rules.Class
}

// qualifiedID returns the id by which targets and recorded events identify the
// request. Hosts prefix the caller's id with the organisation.
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

// expected returns the answer that a stand-in without faults gives to the request.
func (s *callSpec) expectedAnswer() string {
	if !s.toEngine {
		return service.ExpectedBody(s.qualifiedID(), s.method, s.path, s.payload())
	}
	if s.isChat() {
		return engine.ExpectedText(s.qualifiedID(), engine.ChatPrompt(s.messages()), s.maxTokens)
	}
	return engine.ExpectedText(s.qualifiedID(), s.prompt, s.maxTokens)
}

// call is one submission of a request and its result.
type call struct {
	spec   callSpec
	host   string
	hangUp context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	started  bool // the first event of a stream has arrived
	end      string
	reason   string
	runState string
	detail   string
}

func (c *call) result() (end, reason, runState, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end, c.reason, c.runState, c.detail
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
		Pool: spec.class.Pool, Digest: digest(spec.expectedAnswer()),
	})
	w.calls.Go(func() {
		defer close(c.done)
		defer cancel()
		w.recordResult(c, w.sendCall(ctx, c))
	})
	return c
}

// callResult is how a call ended: one of the end constants, the reason and run state
// of a refusal, a detail for failure messages, and the text of an answer.
type callResult struct {
	end, reason, runState, detail string
	text                          string
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

// transportFailure classifies an error of sending the request or reading the response.
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

// readResponse reads a response to its end and classifies it.
func (c *call) readResponse(ctx context.Context, resp *http.Response) callResult {
	if reason := resp.Header.Get("Sardinefront-Reason"); reason != "" {
		body, _ := io.ReadAll(resp.Body)
		return callResult{end: endRefused, reason: reason, runState: resp.Header.Get("Sardinefront-Ran"), detail: string(body)}
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

// readText returns the generated text of an engine's response or the body of a
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

// readStream returns the joined text of a stream's events. A stream without its
// terminal event fails with io.ErrUnexpectedEOF.
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

// answerText extracts the text of a completion. Any other body is returned
// unchanged, so that its digest differs from the expected one.
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

// recordResult sets the result of the call and records it as an event.
func (w *world) recordResult(c *call, result callResult) {
	c.mu.Lock()
	c.end, c.reason, c.runState, c.detail = result.end, result.reason, result.runState, result.detail
	c.mu.Unlock()
	ev := invariant.Event{Host: c.host, Request: c.spec.qualifiedID(), Tier: c.spec.class.Tier, Pool: c.spec.class.Pool}
	switch result.end {
	case endAnswered:
		ev.Kind, ev.Digest = invariant.Answered, digest(result.text)
	case endAccepted:
		ev.Kind = invariant.Accepted
	case endCut:
		ev.Kind = invariant.ConnectionCut
	case endRefused:
		ev.Kind, ev.Reason, ev.RunState = invariant.Refused, result.reason, parseRunState(result.runState)
		if overloadReasons[result.reason] && ev.RunState == refusal.NotRun {
			shed := ev
			shed.Kind = invariant.Shed
			w.rec.Record(shed)
		}
	default:
		return
	}
	w.rec.Record(ev)
}

// overloadReasons holds the refusal reasons that are caused by a lack of capacity.
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
