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

// outcome is the kind of response that a caller received for a job.
type outcome uint8

const (
	pending outcome = iota
	answered
	refused
	incomplete // the connection failed or ended without a complete response
	mismatched // a complete response that does not belong to the request
	accepted
)

// result is the outcome of one job as its caller saw it.
type result struct {
	outcome    outcome
	reason     string
	ran        string
	duration   time.Duration
	firstToken time.Duration
}

// meetsDeadlines reports whether the response was complete and within the times that the rules
// require.
func (r result) meetsDeadlines(k *requestKind) bool {
	if r.outcome != answered {
		return false
	}
	if k.maxResponseTime > 0 && r.duration > k.maxResponseTime {
		return false
	}
	return k.maxFirstToken == 0 || r.firstToken <= k.maxFirstToken
}

// completion is the request body of a call to an engine.
type completion struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (j *job) body() []byte {
	if j.kind.method == http.MethodGet {
		return nil
	}
	if !j.kind.usesEngine {
		return []byte(fmt.Sprintf(`{"job":%q}`, j.id))
	}
	b, _ := json.Marshal(completion{Prompt: j.prompt, MaxTokens: j.outputTokens, Stream: !j.patient()})
	return b
}

// sendRequest sends a job's request and reads the whole response. expected is the request id
// that the target sees.
func sendRequest(ctx context.Context, client *http.Client, j *job, url string, header http.Header, expected string) result {
	start := time.Now()
	body := j.body()
	req, err := http.NewRequestWithContext(ctx, j.kind.method, url, bytes.NewReader(body))
	if err != nil {
		return result{outcome: incomplete, reason: err.Error()}
	}
	req.Header = header
	resp, err := client.Do(req)
	if err != nil {
		return result{outcome: incomplete, reason: "connection"}
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
		r = readResponse(resp, j, start, expected, body)
	}
	r.duration = time.Since(start)
	return r
}

func readResponse(resp *http.Response, j *job, start time.Time, expected string, body []byte) result {
	in := bufio.NewReader(resp.Body)
	if _, err := in.Peek(1); err != nil {
		return result{outcome: incomplete, reason: "empty"}
	}
	r := result{outcome: answered, firstToken: time.Since(start)}
	text, err := io.ReadAll(in)
	switch {
	case err != nil:
		r.outcome, r.reason = incomplete, "cut"
	case !j.matchesRequest(text, expected, body):
		r.outcome = mismatched
	}
	return r
}

// matchesRequest reports whether text is the complete response to the job. The responses of the
// simulated targets depend only on the request.
func (j *job) matchesRequest(text []byte, expected string, body []byte) bool {
	if !j.kind.usesEngine {
		return string(text) == service.ExpectedBody(expected, j.kind.method, j.kind.path, body)
	}
	got, whole := completionText(text)
	return whole && strings.TrimSpace(got) == strings.TrimSpace(engine.ExpectedText(expected, j.prompt, j.outputTokens))
}

// chunk holds the text of a completion or of one event of a streamed completion.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// completionText returns the text of a completion, streamed or not, and whether it is
// complete.
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

// errPhaseEnded is the cancellation cause of requests still open at the end of a phase.
var errPhaseEnded = errors.New("the phase has ended")

// newClient returns the HTTP client of the simulated callers. It has no retry policy, so that
// only the simulated callers repeat requests.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}
