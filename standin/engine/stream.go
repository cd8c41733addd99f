package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
)

// errCut makes the server close the connection in the middle of an answer.
var errTruncated = errors.New("answer cut on demand")

// errStopped ends the stream of a run that was cancelled.
var errStopped = errors.New("run stopped")

const terminalEvent = "data: [DONE]\n\n"

// stream reads the events of a run as they are produced.
type eventReader struct {
	ctx        context.Context
	run        *run
	nextToken  int
	truncateAt int // token to end before, or -1
	unread     string
	done       bool
}

var _ io.Reader = (*eventReader)(nil)

// Read implements io.Reader. Each event is returned by a read of its own unless
// p is too short.
func (s *eventReader) Read(p []byte) (int, error) {
	if s.unread == "" {
		if s.done {
			return 0, io.EOF
		}
		if err := s.readEvent(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

func (s *eventReader) readEvent() error {
	switch {
	case s.nextToken == s.truncateAt:
		return errTruncated
	case s.nextToken >= s.run.output.tokenCount:
		s.unread, s.done = terminalEvent, true
		return nil
	case !s.run.waitForToken(s.ctx, s.nextToken):
		return errStopped
	}
	s.unread = s.run.tokenEvent(s.nextToken)
	s.nextToken++
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

// event returns the event of one token.
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

// whole returns the answer without a stream.
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
