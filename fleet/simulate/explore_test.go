package simulate

import "testing"

// Guards invariant I9 of package proof/invariant in random histories: no host returns to
// an older rules file, hosts adopt only accepted files, the outcomes reported to operators
// are correct, and all hosts converge on the newest file.
func TestRandomHistories(t *testing.T) {
	t.Parallel()
	const first, count = 1, 200
	r := Explore(first, count, 4)
	for _, f := range r.Failures {
		t.Error(f)
	}
	t.Logf("seeds %d to %d: %v", first, first+count-1, r)
}
