package host

import (
	"time"

	"sardinefront.dev/core/request"
)

// SendFloor implements floorSender for a host without peers.
func (h *Host) SendFloor(string, request.Tier, time.Time) {}
