package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
)

// errTruncated makes the server close the connection in the middle of a response.
var errTruncated = errors.New("response truncated by an injected fault")

// errStopped ends the stream of a run that was cancelled or whose server has closed.
var errStopped = errors.New("run stopped before its last token")

const terminalEvent = "data: [DONE]\n\n"

// eventReader reads the events of a run as they are generated.
type eventReader struct {
	ctx        context.Context
	run        *run
	nextToken  int
	truncateAt int // index of the token before which the stream breaks, or -1
	unread     string
	done       bool
}

var _ io.Reader = (*eventReader)(nil)

// Read implements io.Reader. A call returns at most one event, or the part of it that
// fits into p.
func (r *eventReader) Read(p []byte) (int, error) {
	if r.unread == "" {
		if r.done {
			return 0, io.EOF
		}
		if err := r.readEvent(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

func (r *eventReader) readEvent() error {
	switch {
	case r.nextToken == r.truncateAt:
		return errTruncated
	case r.nextToken >= r.run.output.tokenCount:
		r.unread, r.done = terminalEvent, true
		return nil
	case !r.run.waitForToken(r.ctx, r.nextToken):
		return errStopped
	}
	r.unread = r.run.tokenEvent(r.nextToken)
	r.nextToken++
	return nil
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// tokenEvent returns the server-sent event of the i-th token.
func (r *run) tokenEvent(i int) string {
	c := choice{}
	token := r.output.token(i)
	if i == r.output.tokenCount-1 {
		reason := "length"
		c.FinishReason = &reason
	}
	object := "text_completion"
	if r.chat {
		object = "chat.completion.chunk"
		c.Delta = &Message{Role: "assistant", Content: token}
	} else {
		c.Text = &token
	}
	data, _ := json.Marshal(completion{ID: r.id, Object: object, Choices: []choice{c}})
	return "id: " + r.id + "\ndata: " + string(data) + "\n\n"
}

// completionBody returns the body of a response that is not streamed.
func (r *run) completionBody() []byte {
	text := r.output.full()
	reason := "length"
	c := choice{FinishReason: &reason}
	object := "text_completion"
	if r.chat {
		object = "chat.completion"
		c.Message = &Message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	data, _ := json.Marshal(completion{
		ID: r.id, Object: object, Choices: []choice{c},
		Usage: &usage{PromptTokens: r.promptTokens, CompletionTokens: r.output.tokenCount},
	})
	return data
}
