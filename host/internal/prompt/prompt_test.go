package prompt

import (
	"strings"
	"testing"

	"sardinefront.dev/target"
)

// Guards against different hashes for equal leading text, which would lose every cache hit, and
// against equal hashes after the first difference.
func TestCommonPrefixSharesLeadingHashes(t *testing.T) {
	body := func(tail string) []byte {
		return []byte(`{"model":"m","max_tokens":7,"prompt":"` + strings.Repeat("a", 3*target.PromptBlockBytes) + tail + `"}`)
	}
	a, err := Parse(body(strings.Repeat("b", target.PromptBlockBytes)))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Parse(body(strings.Repeat("c", target.PromptBlockBytes)))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if a.PrefixHashes[i] != b.PrefixHashes[i] {
			t.Errorf("hash of block %d differs for equal text", i)
		}
	}
	if a.PrefixHashes[3] == b.PrefixHashes[3] {
		t.Error("block after the difference has the same hash")
	}
	if a.MaxTokens != 7 {
		t.Errorf("got %d max tokens, want 7", a.MaxTokens)
	}
}

// Guards against an assembled response that lacks a part of its stream, and against one that is
// assembled from a truncated stream.
func TestAssembleNeedsWholeStream(t *testing.T) {
	stream := `data: {"id":"a","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"role":"assistant","content":"one "}}]}

data: {"id":"a","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"two"},"finish_reason":"length"}]}

`
	if _, err := Assemble([]byte(stream)); err == nil {
		t.Error("a truncated stream was assembled")
	}
	got, err := Assemble([]byte(stream + "data: [DONE]\n\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := `{"id":"a","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"one two"},"finish_reason":"length"}]}`
	if string(got) != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
