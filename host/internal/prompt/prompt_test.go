package prompt

import (
	"strings"
	"testing"

	"sardinefront.dev/target"
)

// Guards against prefix hashes that differ although the leading text is equal,
// which would lose every cache hit, and against equal ones after a difference.
func TestCommonPrefixSharesLeadingHashes(t *testing.T) {
	body := func(tail string) []byte {
		return []byte(`{"model":"m","max_tokens":7,"prompt":"` + strings.Repeat("a", 3*target.BlockBytes) + tail + `"}`)
	}
	a, err := Parse(body(strings.Repeat("b", target.BlockBytes)))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Parse(body(strings.Repeat("c", target.BlockBytes)))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if a.PrefixHashes[i] != b.PrefixHashes[i] {
			t.Errorf("block %d differs", i)
		}
	}
	if a.PrefixHashes[3] == b.PrefixHashes[3] {
		t.Error("block after the difference has the same hash")
	}
	if a.MaxTokens != 7 {
		t.Errorf("max tokens %d", a.MaxTokens)
	}
}

// Guards against a recorded answer that lost a part of its stream, and against
// one that was put together from a stream that was cut.
func TestAssembleNeedsWholeStream(t *testing.T) {
	stream := `data: {"id":"a","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"role":"assistant","content":"one "}}]}

data: {"id":"a","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"two"},"finish_reason":"length"}]}

`
	if _, err := Assemble([]byte(stream)); err == nil {
		t.Error("a cut stream was put together")
	}
	got, err := Assemble([]byte(stream + "data: [DONE]\n\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := `{"id":"a","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"one two"},"finish_reason":"length"}]}`
	if string(got) != want {
		t.Errorf("got %s", got)
	}
}
