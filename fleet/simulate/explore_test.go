package simulate

import "testing"

// Guards I9: no host goes back, only accepted files get into force, operators
// are told the truth, and all hosts end with the newest file.
func TestRandomHistories(t *testing.T) {
	t.Parallel()
	const first, count = 1, 200
	r := Explore(first, count, 4)
	for _, f := range r.Failures {
		t.Error(f)
	}
	t.Logf("seeds %d to %d: %v", first, first+count-1, r)
}
