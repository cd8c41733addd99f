// Package prompt estimates the tokens of a completion request and hashes the leading blocks of
// its prompt. Requests with a common prompt prefix have the same leading hashes.
package prompt

import (
	"encoding/json"
	"fmt"
	"strings"

	"sardinefront.dev/target"
)

const (
	// bytesPerToken is the usual estimate for text in Latin script.
	bytesPerToken = 4
	// maxBlocks is the maximum number of hashed blocks. It bounds CPU time and memory per
	// request.
	maxBlocks = 64
	// defaultMaxTokens is used for requests without max_tokens.
	defaultMaxTokens = 256
)

// Paths of the engine's API.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
)

// Estimate holds the estimated tokens and the properties of a completion request.
type Estimate struct {
	PromptTokens int
	MaxTokens    int
	// PrefixHashes are the hashes of the leading blocks of the prompt. Engines use the same
	// hashes in cache events.
	PrefixHashes []uint64
	// Stream is set if the caller requested server-sent events.
	Stream bool
	// Path is the path of the engine's API for this kind of request.
	Path string
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type completion struct {
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// Parse reads the JSON body of a completion or chat-completion request.
func Parse(body []byte) (Estimate, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return Estimate{}, fmt.Errorf("completion request: %w", err)
	}
	if c.MaxTokens < 0 {
		return Estimate{}, fmt.Errorf("completion request: max_tokens: %d is negative", c.MaxTokens)
	}
	prompt, path := c.text()
	e := Estimate{
		PromptTokens: max(1, len(prompt)/bytesPerToken),
		MaxTokens:    c.MaxTokens,
		PrefixHashes: target.PrefixHashes([]byte(prompt[:min(len(prompt), maxBlocks*target.PromptBlockBytes)])),
		Stream:       c.Stream,
		Path:         path,
	}
	if e.MaxTokens == 0 {
		e.MaxTokens = defaultMaxTokens
	}
	return e, nil
}

// text returns the whole text of the prompt and the path of the engine's API.
func (c *completion) text() (prompt, path string) {
	if len(c.Messages) == 0 {
		return content(c.Prompt), pathCompletions
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role + ": " + content(m.Content) + "\n")
	}
	return b.String(), pathChat
}

// content returns the value of a JSON string, or the JSON text itself for content that consists
// of several parts.
func content(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}
