package prompt

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// EnableStreaming returns the JSON body of a completion request with the stream field set.
func EnableStreaming(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("completion request: %w", err)
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

// ErrNoTerminalEvent means that an event stream is truncated.
var ErrNoTerminalEvent = errors.New("event stream without its terminal event")

// chunk is one event of a streamed completion, or the JSON object assembled from all events.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model,omitempty"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Assemble converts the server-sent events of a streamed completion to the JSON object that the
// engine would have sent without streaming. It returns ErrNoTerminalEvent for a truncated stream.
func Assemble(events []byte) ([]byte, error) {
	var result chunk
	var text strings.Builder
	for line := range bytes.Lines(events) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return result.finish(text.String())
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return nil, fmt.Errorf("event of a completion: %w", err)
		}
		result.add(c, &text)
	}
	return nil, ErrNoTerminalEvent
}

// add appends the text of the event c and keeps its metadata.
func (w *chunk) add(c chunk, text *strings.Builder) {
	if w.ID == "" {
		w.ID, w.Object, w.Model = c.ID, c.Object, c.Model
	}
	if len(c.Choices) == 0 {
		return
	}
	ch := c.Choices[0]
	text.WriteString(ch.Text)
	if ch.Delta != nil {
		text.WriteString(ch.Delta.Content)
	}
	if len(w.Choices) == 0 {
		w.Choices = c.Choices[:1]
	}
	w.Choices[0].FinishReason = ch.FinishReason
}

// finish returns the JSON object with the whole text.
func (w *chunk) finish(text string) ([]byte, error) {
	w.Object = strings.TrimSuffix(w.Object, ".chunk")
	for i := range w.Choices {
		c := &w.Choices[i]
		if c.Delta != nil {
			c.Delta, c.Message = nil, &chatMessage{Role: "assistant", Content: text}
			continue
		}
		c.Text = text
	}
	return json.Marshal(w)
}
