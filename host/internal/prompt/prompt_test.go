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
		if a.Prefix[i] != b.Prefix[i] {
			t.Errorf("block %d differs", i)
		}
	}
	if a.Prefix[3] == b.Prefix[3] {
		t.Error("block after the difference has the same hash")
	}
	if a.MaxTokens != 7 {
		t.Errorf("max tokens %d", a.MaxTokens)
	}
}
