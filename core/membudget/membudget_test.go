package membudget

import "testing"

// Guards against buffers that exceed the budget together, and against bytes that are not returned.
func TestBuffersShareTheBudget(t *testing.T) {
	const shared, own = 100, 10
	b := New(shared, own)
	var first, second Usage
	steps := []struct {
		usage *Usage
		size  int
		want  bool
	}{
		{&first, own, true}, {&second, own, true},
		{&first, own + shared, true}, {&second, own + 1, false}, {&second, own, true},
		{&first, own + 40, true}, {&second, own + 60, true}, {&first, own + 41, false},
		{&first, 0, true}, {&second, own + shared, true}, {&second, 0, true}, {&first, own + shared + 1, false},
	}
	for i, s := range steps {
		if got := b.Resize(s.usage, s.size); got != s.want {
			t.Errorf("step %d: Resize(%d) = %v, want %v", i, s.size, got, s.want)
		}
	}
}
