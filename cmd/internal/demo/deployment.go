package demo

import (
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/examples"
)

// deployment is one of the two users of the demo at its present size.
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
	// engine calls generate text; the others go to a plain service.
	usesEngine    bool
	nonIdempotent bool
	// share of the deployment's calls to engines or services.
	share float64
	// burst kinds come more often during the burst.
	hasBurst bool
	// organisation is set if the kind's rule is for one organisation only.
	organisation string
	// answer and firstToken are the times that the rules state; 0 for none.
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
