package host

import (
	"sort"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/control"
)

// MoveStatus is this host's view of the last move of a pool.
type MoveStatus struct {
	Pool   string    `json:"pool"`
	ID     string    `json:"id"`
	From   string    `json:"from"`
	To     string    `json:"to"`
	By     time.Time `json:"by"`
	Phase  string    `json:"phase"`
	Step   int       `json:"step"`
	Steps  int       `json:"steps"`
	Late   bool      `json:"late"`
	Reason string    `json:"reason,omitempty"`
	// Shares are the new version's shares of the requests, 0 to 1, by tier.
	Shares [request.TierCount]float64 `json:"shares"`
	// Halted is the reason why this host sends no requests to the new version.
	Halted string `json:"halted,omitempty"`
	// Ended holds the final phases of the pool's moves that have ended, by move id.
	Ended map[string]string `json:"ended,omitempty"`
}

// Moves returns the state of the last move of each pool that has had one, sorted by pool.
func (h *Host) Moves() []MoveStatus {
	statuses := []MoveStatus{}
	for name := range *h.pools.Load() {
		if s, ok := h.moveTracker.State(name); ok {
			statuses = append(statuses, h.moveStatus(name, s))
		}
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Pool < statuses[j].Pool })
	return statuses
}

func (h *Host) moveStatus(name string, s control.State) MoveStatus {
	m := MoveStatus{
		Pool: name, ID: s.ID, From: s.Move.From, To: s.Move.To, By: s.Move.By, Phase: s.Phase.String(),
		Step: s.Step, Steps: len(control.Steps), Late: s.Late, Reason: s.Reason, Shares: s.Shares,
		Halted: haltReason(h.moveTracker.PendingHalts(), s.ID), Ended: make(map[string]string, len(s.Ended)),
	}
	for id, p := range s.Ended {
		m.Ended[id] = p.String()
	}
	return m
}

// haltReason returns the reason of the halt of a move, or an empty string.
func haltReason(halts []moves.Halt, id string) string {
	for _, halt := range halts {
		if halt.MoveID == id {
			return halt.Reason + ", established by " + halt.DetectedBy
		}
	}
	return ""
}
