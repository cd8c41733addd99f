// Package prompt estimates the cost of a completion request and hashes the
// leading blocks of its prompt, so that requests with a common prefix share
// their leading hashes.
package prompt

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the usual estimate for text in Latin script.
	bytesPerToken = 4
	// blockBytes is the length of a hashed block: 64 tokens, the order of the
	// block sizes in which engines cache prefixes.
	blockBytes = 64 * bytesPerToken
	// maxBlocks bounds the work and the state per request.
	maxBlocks = 64
	// defaultMaxTokens is assumed where a caller names no max_tokens.
	defaultMaxTokens = 256
)

// Estimate describes a completion request.
type Estimate struct {
	PromptTokens int
	MaxTokens    int
	Prefix       []uint64
	// Stream is set if the caller asked for server-sent events.
	Stream bool
	Model  string
	// Path is the engine's path for this kind of request.
	Path string
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type completion struct {
	Model     string          `json:"model"`
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
	text := append([]byte(c.Model+"\x00"), c.Prompt...)
	for _, m := range c.Messages {
		text = append(text, m.Role...)
		text = append(text, 0)
		text = append(text, m.Content...)
	}
	e := Estimate{
		PromptTokens: max(1, len(text)/bytesPerToken),
		MaxTokens:    c.MaxTokens,
		Prefix:       hashBlocks(text),
		Stream:       c.Stream,
		Model:        c.Model,
		Path:         "/v1/completions",
	}
	if len(c.Messages) > 0 {
		e.Path = "/v1/chat/completions"
	}
	if e.MaxTokens == 0 {
		e.MaxTokens = defaultMaxTokens
	}
	return e, nil
}

// hashBlocks returns one hash for each whole leading block; each hash covers
// all text up to the end of its block.
func hashBlocks(text []byte) []uint64 {
	n := min(len(text)/blockBytes, maxBlocks)
	hashes := make([]uint64, 0, n)
	digest := xxhash.New()
	for i := range n {
		_, _ = digest.Write(text[i*blockBytes : (i+1)*blockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
