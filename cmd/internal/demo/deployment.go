package demo

import (
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/examples"
)

// deployment describes one of the two deployments of the demo: its rules, the numbers of its
// hosts and targets, and its load.
type deployment struct {
	name          string
	zones         []string
	enginePool    string
	servicePool   string
	version       string
	rules         []byte
	engines       int
	services      int
	hosts         int
	organisations []string
	kinds         []requestKind
}

// requestKind is a kind of call that a deployment receives.
type requestKind struct {
	name   string
	method string
	path   string
	tier   request.Tier
	// usesEngine is set if calls go to an engine. Other calls go to a plain service.
	usesEngine    bool
	nonIdempotent bool
	// share is the kind's share of the deployment's calls to engines, or of those to services.
	share float64
	// hasBurst is set if the rate of calls rises during the burst.
	hasBurst bool
	// organisation is set if the rule applies to one organisation only.
	organisation string
	// maxResponseTime and maxFirstToken are the times that the rules require, or 0.
	maxResponseTime, maxFirstToken time.Duration
}

const firstTokenTarget = 590 * time.Millisecond

func deployments() []deployment {
	return []deployment{fjellvarsel(), lampuKaca()}
}

func fjellvarsel() deployment {
	return deployment{
		name:       "Fjellvarsel Analyse",
		zones:      []string{"no-vest-1", "no-vest-2", "no-vest-3"},
		enginePool: "lyn-llm", servicePool: "feltdesk", version: "7",
		rules:   examples.Fjellvarsel,
		engines: 12, services: 3, hosts: 8,
		organisations: []string{"jernbane", "kraftnett", "vegvesen", "kommune-vest", "kommune-sor"},
		kinds: []requestKind{
			{name: "storm call", method: "POST", path: "/lyn/storm/call", tier: request.Urgent, usesEngine: true, share: 0.2, hasBurst: true, maxResponseTime: 20 * time.Second, maxFirstToken: firstTokenTarget},
			{name: "question", method: "POST", path: "/lyn/v1/completions", tier: request.Interactive, usesEngine: true, share: 0.4, organisation: "vegvesen", maxResponseTime: time.Minute, maxFirstToken: 2 * time.Second},
			{name: "batch review", method: "POST", path: "/lyn/reviews/night", tier: request.Patient, usesEngine: true, share: 0.4},
			{name: "inspection order", method: "POST", path: "/feltdesk/orders", tier: request.Interactive, nonIdempotent: true, share: 0.2, maxResponseTime: 10 * time.Second},
			{name: "status lookup", method: "GET", path: "/feltdesk/counter/7", tier: request.Interactive, share: 0.8, maxResponseTime: 2 * time.Second},
		},
	}
}

func lampuKaca() deployment {
	return deployment{
		name:       "Lampu Kaca Labs",
		zones:      []string{"ipoh-a", "ipoh-b", "penang-a", "penang-b"},
		enginePool: "sardine-llm", servicePool: "shop-app", version: "3",
		rules:   examples.LampuKaca,
		engines: 20, services: 4, hosts: 8,
		organisations: []string{"penang-ladders", "ipoh-lifts", "kaca-retail", "neon-shop", "sign-makers"},
		kinds: []requestKind{
			{name: "ladder diagnosis", method: "POST", path: "/assist/ladder/diagnosis", tier: request.Urgent, usesEngine: true, share: 0.25, hasBurst: true, maxResponseTime: 15 * time.Second, maxFirstToken: firstTokenTarget},
			{name: "repair quote", method: "POST", path: "/assist/quotes/new", tier: request.Interactive, usesEngine: true, share: 0.45, maxResponseTime: 20 * time.Second, maxFirstToken: time.Second},
			{name: "tip", method: "POST", path: "/assist/tips/new", tier: request.Patient, usesEngine: true, share: 0.3},
			{name: "booking", method: "POST", path: "/shop/bookings", tier: request.Interactive, nonIdempotent: true, share: 0.2, maxResponseTime: 10 * time.Second},
			{name: "stock lookup", method: "GET", path: "/shop/stock/tube", tier: request.Interactive, share: 0.8, maxResponseTime: 2 * time.Second},
		},
	}
}
