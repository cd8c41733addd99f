package host

import (
	"context"

	"github.com/gofiber/fiber/v3"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

func (h *Host) openClaimed(ctx context.Context, in *intake) (source, *refusal.Refusal) {
	return nil, refusal.New(refusal.StoreUnavailable, "no journal on this host")
}

func (h *Host) submitPatient(c fiber.Ctx, in *intake) error {
	return h.refuse(c, in.id, in.organisation, request.Patient, refusal.New(refusal.StoreUnavailable, "no journal on this host"))
}

func (h *Host) fetchOutcome(c fiber.Ctx) error {
	return h.refuse(c, "", "", request.Patient, refusal.New(refusal.StoreUnavailable, "no journal on this host"))
}
