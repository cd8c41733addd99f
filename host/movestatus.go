package host

import (
	"sort"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/steer"
)

// MoveStatus is the newest move of a pool as this host knows it.
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
	// Shares are the parts of each tier's requests that the new version gets.
	Shares [request.TierCount]float64 `json:"shares"`
	// Halted names why this host sends nothing to the new version.
	Halted string `json:"halted,omitempty"`
	// Ended lists the moves of the pool that have ended, by id.
	Ended map[string]string `json:"ended,omitempty"`
}

// Moves returns the state of each pool that has or had a move.
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

func (h *Host) moveStatus(name string, s steer.State) MoveStatus {
	m := MoveStatus{
		Pool: name, ID: s.ID, From: s.Move.From, To: s.Move.To, By: s.Move.By, Phase: s.Phase.String(),
		Step: s.Step, Steps: len(steer.Steps), Late: s.Late, Reason: s.Reason, Shares: s.Shares,
		Halted: haltReason(h.moveTracker.PendingHalts(), s.ID), Ended: make(map[string]string, len(s.Ended)),
	}
	for id, p := range s.Ended {
		m.Ended[id] = p.String()
	}
	return m
}

func haltReason(halts []moves.Halt, id string) string {
	for _, halt := range halts {
		if halt.MoveID == id {
			return halt.Reason + ", established by " + halt.DetectedBy
		}
	}
	return ""
}
