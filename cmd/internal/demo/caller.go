package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"sardinefront.dev/standin/engine"
	"sardinefront.dev/standin/service"
)

// outcome is what a caller got for one job.
type outcome uint8

const (
	pending outcome = iota
	answered
	refused
	broken // the connection ended without a whole answer
	wrong  // a whole answer that is not the request's own
	accepted
)

// result is the outcome of one job.
type result struct {
	outcome    outcome
	reason     string
	ran        string
	took       time.Duration
	firstToken time.Duration
}

// good reports whether the answer came whole and within the rules' times.
func (r result) good(k *requestKind) bool {
	if r.outcome != answered {
		return false
	}
	if k.answer > 0 && r.took > k.answer {
		return false
	}
	return k.firstToken == 0 || r.firstToken <= k.firstToken
}

// completion is the body of a call to an engine.
type completion struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (j *job) body() []byte {
	if j.kind.method == http.MethodGet {
		return nil
	}
	if !j.kind.engine {
		return []byte(fmt.Sprintf(`{"job":%q}`, j.id))
	}
	b, _ := json.Marshal(completion{Prompt: j.prompt, MaxTokens: j.tokens, Stream: !j.patient()})
	return b
}

// perform sends one request and reads the whole answer. expected is the id
// under which the target saw the request.
func perform(ctx context.Context, client *http.Client, j *job, url string, header http.Header, expected string) result {
	start := time.Now()
	body := j.body()
	req, err := http.NewRequestWithContext(ctx, j.kind.method, url, bytes.NewReader(body))
	if err != nil {
		return result{outcome: broken, reason: err.Error()}
	}
	req.Header = header
	resp, err := client.Do(req)
	if err != nil {
		return result{outcome: broken, reason: "connection"}
	}
	defer resp.Body.Close()
	r := result{reason: resp.Header.Get("Sardinefront-Reason"), ran: resp.Header.Get("Sardinefront-Ran")}
	switch {
	case r.reason != "":
		_, _ = io.Copy(io.Discard, resp.Body)
		r.outcome = refused
	case resp.StatusCode == http.StatusAccepted:
		_, _ = io.Copy(io.Discard, resp.Body)
		r.outcome = accepted
	case resp.StatusCode >= http.StatusBadRequest:
		_, _ = io.Copy(io.Discard, resp.Body)
		r.outcome, r.reason = refused, fmt.Sprintf("status-%d", resp.StatusCode)
	default:
		r = readAnswer(resp, j, start, expected, body)
	}
	r.took = time.Since(start)
	return r
}

func readAnswer(resp *http.Response, j *job, start time.Time, expected string, body []byte) result {
	in := bufio.NewReader(resp.Body)
	if _, err := in.Peek(1); err != nil {
		return result{outcome: broken, reason: "empty"}
	}
	r := result{outcome: answered, firstToken: time.Since(start)}
	text, err := io.ReadAll(in)
	switch {
	case err != nil:
		r.outcome, r.reason = broken, "cut"
	case !j.isOwn(text, expected, body):
		r.outcome = wrong
	}
	return r
}

// isOwn reports whether an answer is the whole answer to this job. The
// simulated targets' answers depend on the request only.
func (j *job) isOwn(text []byte, expected string, body []byte) bool {
	if !j.kind.engine {
		return string(text) == service.ExpectedBody(expected, j.kind.method, j.kind.path, body)
	}
	got, whole := completionText(text)
	return whole && strings.TrimSpace(got) == strings.TrimSpace(engine.ExpectedText(expected, j.prompt, j.tokens))
}

// chunk is the part of a completion that carries text.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// completionText returns the text of a streamed or plain completion and
// whether its end is there.
func completionText(body []byte) (string, bool) {
	var b strings.Builder
	if !bytes.Contains(body, []byte("data: ")) {
		var c chunk
		if json.Unmarshal(body, &c) != nil || len(c.Choices) == 0 {
			return "", false
		}
		return c.Choices[0].Text, true
	}
	for line := range strings.SplitSeq(string(body), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), true
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			b.WriteString(c.Choices[0].Text)
		}
	}
	return b.String(), false
}

// errEnded ends requests that are still open when a phase is over.
var errEnded = errors.New("the phase has ended")

// newClient returns a client that never repeats a request by itself on the
// load's own account: every repeat is one that a caller would make.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}
