package rules

// Line matching for Diff and ThreeWayDiff. It is a patience diff: lines that occur
// exactly once on both sides anchor the match. Most lines of a rules file are unique,
// and such a match keeps the old and the new version of a changed rule together.

// maxLCSCells bounds the table, in cells, of the longest common subsequence, which is
// the fallback for ranges without unique lines.
const maxLCSCells = 250_000

// maxDepth bounds the recursion on adversarial texts. Lines that are not matched by then
// count as replaced.
const maxDepth = 64

// matcher finds equal lines of a and b. Lines are represented by numbers; equal lines
// have equal numbers.
type matcher struct {
	a, b    []int
	partner []int // for each line of a, the position of the matching line in b, or -1
}

// matchLines returns for each line of a the position of the matching line in b, or
// -1. Matching lines are equal, and the positions ascend.
func matchLines(a, b []string) []int {
	numbers := make(map[string]int, len(a))
	m := &matcher{a: numberLines(a, numbers), b: numberLines(b, numbers), partner: make([]int, len(a))}
	for i := range m.partner {
		m.partner[i] = -1
	}
	m.match(0, len(a), 0, len(b), 0)
	return m.partner
}

// numberLines returns the numbers of lines and adds new ones to the map.
func numberLines(lines []string, numbers map[string]int) []int {
	out := make([]int, len(lines))
	for i, l := range lines {
		n, ok := numbers[l]
		if !ok {
			n = len(numbers)
			numbers[l] = n
		}
		out[i] = n
	}
	return out
}

// match matches a[a0:a1] with b[b0:b1].
func (m *matcher) match(a0, a1, b0, b1, depth int) {
	for a0 < a1 && b0 < b1 && m.a[a0] == m.b[b0] {
		m.partner[a0] = b0
		a0, b0 = a0+1, b0+1
	}
	for a0 < a1 && b0 < b1 && m.a[a1-1] == m.b[b1-1] {
		a1, b1 = a1-1, b1-1
		m.partner[a1] = b1
	}
	if a0 == a1 || b0 == b1 || depth > maxDepth {
		return
	}
	anchors := m.anchors(a0, a1, b0, b1)
	if len(anchors) == 0 {
		m.matchLCS(a0, a1, b0, b1)
		return
	}
	for _, p := range anchors {
		m.match(a0, p[0], b0, p[1], depth+1)
		m.partner[p[0]] = p[1]
		a0, b0 = p[0]+1, p[1]+1
	}
	m.match(a0, a1, b0, b1, depth+1)
}

// anchors returns the longest ascending sequence of position pairs of lines that occur
// exactly once in each range.
func (m *matcher) anchors(a0, a1, b0, b1 int) [][2]int {
	type count struct{ inA, inB, positionB int }
	counts := make(map[int]*count, a1-a0)
	for _, n := range m.a[a0:a1] {
		if counts[n] == nil {
			counts[n] = &count{}
		}
		counts[n].inA++
	}
	for i, n := range m.b[b0:b1] {
		if c := counts[n]; c != nil {
			c.inB, c.positionB = c.inB+1, b0+i
		}
	}
	var unique [][2]int
	for i, n := range m.a[a0:a1] {
		if c := counts[n]; c.inA == 1 && c.inB == 1 {
			unique = append(unique, [2]int{a0 + i, c.positionB})
		}
	}
	return longestAscending(unique)
}

// longestAscending returns the longest subsequence whose second elements ascend, by
// patience sorting.
func longestAscending(pairs [][2]int) [][2]int {
	var tops []int // position in pairs of the top of each pile
	previous := make([]int, len(pairs))
	for i, p := range pairs {
		low, high := 0, len(tops)
		for low < high {
			mid := (low + high) / 2
			if pairs[tops[mid]][1] < p[1] {
				low = mid + 1
			} else {
				high = mid
			}
		}
		previous[i] = -1
		if low > 0 {
			previous[i] = tops[low-1]
		}
		if low == len(tops) {
			tops = append(tops, i)
		} else {
			tops[low] = i
		}
	}
	out := make([][2]int, len(tops))
	if len(tops) == 0 {
		return nil
	}
	for k, i := len(tops)-1, tops[len(tops)-1]; k >= 0; k, i = k-1, previous[i] {
		out[k] = pairs[i]
	}
	return out
}

// matchLCS matches the longest common subsequence of two ranges, unless its table would
// exceed maxLCSCells.
func (m *matcher) matchLCS(a0, a1, b0, b1 int) {
	rows, columns := a1-a0, b1-b0
	if rows*columns > maxLCSCells {
		return
	}
	length := make([][]int32, rows+1)
	for i := range length {
		length[i] = make([]int32, columns+1)
	}
	for i := rows - 1; i >= 0; i-- {
		for j := columns - 1; j >= 0; j-- {
			if m.a[a0+i] == m.b[b0+j] {
				length[i][j] = length[i+1][j+1] + 1
			} else {
				length[i][j] = max(length[i+1][j], length[i][j+1])
			}
		}
	}
	for i, j := 0, 0; i < rows && j < columns; {
		switch {
		case m.a[a0+i] == m.b[b0+j]:
			m.partner[a0+i] = b0 + j
			i, j = i+1, j+1
		case length[i+1][j] >= length[i][j+1]:
			i++
		default:
			j++
		}
	}
}

// gap is the pair of unmatched ranges a[a0:a1] and b[b0:b1] between two matches.
type gap struct{ a0, a1, b0, b1 int }

// gaps returns the unmatched ranges in order, where n is the number of lines of b.
func gaps(pair []int, n int) []gap {
	var out []gap
	a0, b0 := 0, 0
	for i := 0; i <= len(pair); i++ {
		at := n
		if i < len(pair) {
			at = pair[i]
		}
		if at < 0 {
			continue
		}
		if a0 < i || b0 < at {
			out = append(out, gap{a0, i, b0, at})
		}
		a0, b0 = i+1, at+1
	}
	return out
}
