package config

import (
	"bytes"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// text returns a file made of few different lines, so that lines repeat and move.
func text(lines []int8) []byte {
	var b bytes.Buffer
	for i, l := range lines {
		b.WriteString([]string{"a", "b", "", "longer line c", "d"}[int(uint8(l))%5])
		if i < len(lines)-1 || l%2 == 0 {
			b.WriteByte('\n')
		}
	}
	return b.Bytes()
}

// Guards against deltas that do not reproduce the new text.
func TestDiffThenPatchRestoresTheText(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(5)
	p.MinSuccessfulTests = 2000
	props := gopter.NewProperties(p)
	props.Property("patch(old, diff(old, next)) == next", prop.ForAll(func(a, b []int8) bool {
		old, next := text(a), text(b)
		got, err := patch(old, diff(old, next), 1<<20)
		return err == nil && bytes.Equal(got, next)
	}, gen.SliceOf(gen.Int8()), gen.SliceOf(gen.Int8())))
	props.TestingRun(t)
}

// Guards against sending the whole file for a change of one line, and against
// applying a delta to another text than the one it was made for.
func TestPullSendsDelta(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	long := bytes.Repeat([]byte("serve lyn-llm version 7 # Kari\n"), 1000)
	v1 := RulesFile{Number: 1, Text: long}
	v2 := RulesFile{Number: 2, Text: append([]byte("# new first line\n"), long...)}
	server, client := NewReplica(ReplicaConfig{}, now), NewReplica(ReplicaConfig{}, now)
	server.HandleStoreValue(v1, now)
	client.HandleStoreValue(v1, now)
	server.HandleStoreValue(v2, now)
	p, ok := client.HandleAdvert("server", server.Advert(now), now)
	if !ok || p.Have != v1.Version() {
		t.Fatalf("pull %+v, %v", p, ok)
	}
	r := server.ServePull(PullRequest{Have: p.Have})
	b, err := EncodePullResponse(r)
	if err != nil || len(b) > 200 {
		t.Errorf("delta of %d bytes, %v", len(b), err)
	}
	other := NewReplica(ReplicaConfig{}, now)
	other.HandleStoreValue(RulesFile{Number: 1, Text: []byte("other")}, now)
	if other.HandlePullResponse("server", r, now) || other.Latest().Number != 1 {
		t.Error("a delta for another text was applied")
	}
	if !client.HandlePullResponse("server", r, now) || client.Version() != v2.Version() {
		t.Error("the delta was not applied")
	}
}

// Guards against a newer file that cannot be fetched without being reported as
// stale, and against a tight loop of pulls from a peer that fails at once.
func TestStaleWhenPeerDoesNotRespond(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := NewReplica(ReplicaConfig{}, now)
	pulls := 0
	if _, ok := s.HandleAdvert("peer", Advert{Version: Version{Number: 9}, StoreAgeSeconds: 3}, now); ok {
		pulls++
	}
	for range 100 {
		s.HandlePullFailure("peer", now)
		now = now.Add(100 * time.Millisecond)
		if _, ok := s.Tick(now); ok {
			pulls++
		}
	}
	st := s.Status(now)
	if !st.Stale || st.NewestNumber != 9 || st.StoreUnreachable {
		t.Errorf("status %+v", st)
	}
	if pulls < 10 || pulls > 40 {
		t.Errorf("%d pulls in 10 s", pulls)
	}
}
