// Package telemetry declares every metric once and exposes them in the
// Prometheus text format. docs/metrics.md is the catalogue.
package telemetry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// Spec describes one metric for the catalogue.
type Spec struct {
	Name    string
	Kind    string
	Unit    string
	Labels  []string
	Meaning string
}

// Specs lists every metric of the process.
var Specs = []Spec{
	{"sardinefront_requests", "counter", "{request}", []string{"tier", "pool"}, "Requests taken in."},
	{"sardinefront_answers", "counter", "{request}", []string{"tier", "pool"}, "Requests answered whole and in time."},
	{"sardinefront_refusals", "counter", "{request}", []string{"tier", "reason"}, "Requests refused, by reason."},
	{"sardinefront_retries", "counter", "{request}", []string{"reason"}, "Requests tried at another target, by reason."},
	{"sardinefront_first_token", "histogram", "s", []string{"tier"}, "Time from arrival to the first byte of the answer."},
	{"sardinefront_wasted_prefill", "counter", "{token}", []string{"cause"}, "Prompt tokens whose prefill was not used, by cause."},
	{"sardinefront_moves", "counter", "{move}", []string{"outcome"}, "Version moves ended, by outcome."},
	{"sardinefront_outcomes_unknown", "counter", "{request}", nil, "Claimed requests that cannot be proven to have run or not."},
	{"sardinefront_store_calls", "counter", "{call}", []string{"kind"}, "Calls to the platform's store."},
	{"sardinefront_store_results", "counter", "{call}", []string{"kind", "result"}, "Ends of calls to the platform's store, by result."},
	{"sardinefront_reservations", "counter", "{reservation}", []string{"service", "result"}, "Reservations asked for at engines, by result."},
	{"sardinefront_queue_wait", "histogram", "s", []string{"tier"}, "Time from arrival until a request is sent to a target."},
	{"sardinefront_event_pause", "histogram", "s", []string{"tier"}, "Longest pause between the events of an answered stream."},
	{"sardinefront_target_connections", "counter", "{connection}", []string{"result"}, "New connections to targets."},
	{"sardinefront_waiting", "gauge", "{request}", []string{"tier", "service"}, "Requests that wait for a target."},
	{"sardinefront_targets", "gauge", "{target}", []string{"service", "state"}, "Targets in use, and those of them that are ejected."},
	{"sardinefront_config_version", "gauge", "", nil, "Version of the configuration in force."},
	{"sardinefront_target_list_age", "gauge", "s", nil, "Time since the list of targets was last known to be current."},
	{"sardinefront_peers", "gauge", "{host}", nil, "Other hosts heard lately."},
	{"sardinefront_peer_sent_datagrams", "gauge", "{datagram}", nil, "Datagrams sent to other hosts since the start."},
	{"sardinefront_peer_sent_bytes", "gauge", "By", nil, "Bytes of those datagrams."},
	{"sardinefront_peer_bytes", "counter", "By", []string{"direction"}, "Bytes of control traffic with peers."},
}

// WasteCause says why prefill work was wasted.
type WasteCause string

// The causes of wasted prefill.
const (
	WasteCachedElsewhere WasteCause = "cached-elsewhere"
	WasteCancelled       WasteCause = "cancelled"
	WasteRefused         WasteCause = "refused-after-run"
	WasteTargetLost      WasteCause = "target-lost"
)

var wasteCauses = []WasteCause{WasteCachedElsewhere, WasteCancelled, WasteRefused, WasteTargetLost}

// MoveOutcomes are the labels of the moves counter.
var MoveOutcomes = []string{"done", "taken-back", "late"}

// Metrics records the process's metrics. All methods are safe for concurrent
// use.
type Metrics struct {
	registry   *prometheus.Registry
	meter      metric.Meter
	counters   map[string]metric.Int64Counter
	histograms map[string]metric.Float64Histogram
}

// firstTokenBuckets are in seconds. 0.59 is the first-token target.
var firstTokenBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.59, 1, 2, 5, 10, 30, 60}

// New declares all metrics and sets each refusal, retry, waste and move series
// to zero, so that an absent series always means an absent process.
func New() (*Metrics, error) {
	reg := prometheus.NewRegistry()
	exp, err := otelprom.New(otelprom.WithRegisterer(reg), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("telemetry: prometheus exporter: %w", err)
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exp)).Meter("sardinefront")
	m := &Metrics{
		registry: reg, meter: meter,
		counters: make(map[string]metric.Int64Counter), histograms: make(map[string]metric.Float64Histogram),
	}
	for _, s := range Specs {
		if err := m.declare(meter, s); err != nil {
			return nil, fmt.Errorf("telemetry: metric %s: %w", s.Name, err)
		}
	}
	m.zero()
	return m, nil
}

func (m *Metrics) declare(meter metric.Meter, s Spec) error {
	switch s.Kind {
	case "gauge": // declared by Observe
		return nil
	case "histogram":
		h, err := meter.Float64Histogram(s.Name, metric.WithUnit(s.Unit), metric.WithDescription(s.Meaning),
			metric.WithExplicitBucketBoundaries(firstTokenBuckets...))
		m.histograms[s.Name] = h
		return err
	}
	c, err := meter.Int64Counter(s.Name, metric.WithUnit(s.Unit), metric.WithDescription(s.Meaning))
	m.counters[s.Name] = c
	return err
}

func (m *Metrics) zero() {
	for t := request.Tier(0); t < request.TierCount; t++ {
		for _, r := range refusal.Reasons() {
			m.add("sardinefront_refusals", 0, attribute.String("tier", t.String()), attribute.String("reason", r.String()))
		}
	}
	for _, r := range refusal.RetryReasons() {
		m.add("sardinefront_retries", 0, attribute.String("reason", r.String()))
	}
	for _, c := range wasteCauses {
		m.AddWastedPrefill(c, 0)
	}
	for _, o := range MoveOutcomes {
		m.add("sardinefront_moves", 0, attribute.String("outcome", o))
	}
	m.add("sardinefront_outcomes_unknown", 0)
}

func (m *Metrics) add(name string, n int64, attrs ...attribute.KeyValue) {
	m.counters[name].Add(context.Background(), n, metric.WithAttributes(attrs...))
}

// Request counts a request taken in.
func (m *Metrics) CountRequest(t request.Tier, pool string) {
	m.add("sardinefront_requests", 1, attribute.String("tier", t.String()), attribute.String("pool", pool))
}

// Answer counts a whole answer given in time.
func (m *Metrics) CountAnswered(t request.Tier, pool string) {
	m.add("sardinefront_answers", 1, attribute.String("tier", t.String()), attribute.String("pool", pool))
}

// Refusal counts a refused request.
func (m *Metrics) CountRefusal(t request.Tier, r refusal.Reason) {
	m.add("sardinefront_refusals", 1, attribute.String("tier", t.String()), attribute.String("reason", r.String()))
}

// Retry counts a further try at another target.
func (m *Metrics) CountRetry(r refusal.RetryReason) {
	m.add("sardinefront_retries", 1, attribute.String("reason", r.String()))
}

// FirstToken records the time to the first byte of an answer, in seconds.
func (m *Metrics) RecordFirstToken(t request.Tier, seconds float64) {
	m.record("sardinefront_first_token", t, seconds)
}

func (m *Metrics) record(name string, t request.Tier, seconds float64) {
	m.histograms[name].Record(context.Background(), seconds, metric.WithAttributes(attribute.String("tier", t.String())))
}

// QueueWait records the time from arrival until a request is sent, in seconds.
func (m *Metrics) RecordQueueWait(t request.Tier, seconds float64) {
	m.record("sardinefront_queue_wait", t, seconds)
}

// EventPause records the longest pause between the events of a stream, in seconds.
func (m *Metrics) RecordEventPause(t request.Tier, seconds float64) {
	m.record("sardinefront_event_pause", t, seconds)
}

// Reservation counts a reservation that was asked for; result is granted, refused or
// failed.
func (m *Metrics) CountReservation(service, result string) {
	m.add("sardinefront_reservations", 1, attribute.String("service", service), attribute.String("result", result))
}

// Dialled counts a new connection to a target, or the failure to make one.
func (m *Metrics) CountDial(ok bool) {
	result := "made"
	if !ok {
		result = "failed"
	}
	m.add("sardinefront_target_connections", 1, attribute.String("result", result))
}

// Sample is one value of a gauge. Labels are in the order of the gauge's Spec.
type GaugeValue struct {
	Labels []string
	Value  float64
}

// Observe makes a function the source of a gauge of Specs. It is called at each read
// of the metrics page.
func (m *Metrics) RegisterGauge(name string, read func() []GaugeValue) error {
	spec, err := gauge(name)
	if err != nil {
		return err
	}
	_, err = m.meter.Float64ObservableGauge(name, metric.WithUnit(spec.Unit), metric.WithDescription(spec.Meaning),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, s := range read() {
				attrs := make([]attribute.KeyValue, 0, len(s.Labels))
				for i, v := range s.Labels {
					attrs = append(attrs, attribute.String(spec.Labels[i], v))
				}
				o.Observe(s.Value, metric.WithAttributes(attrs...))
			}
			return nil
		}))
	return err
}

func gauge(name string) (Spec, error) {
	for _, s := range Specs {
		if s.Name == name && s.Kind == "gauge" {
			return s, nil
		}
	}
	return Spec{}, fmt.Errorf("telemetry: no gauge %s", name)
}

// WastedPrefill counts prompt tokens whose prefill was not used.
func (m *Metrics) AddWastedPrefill(c WasteCause, tokens int) {
	m.add("sardinefront_wasted_prefill", int64(tokens), attribute.String("cause", string(c)))
}

// Move counts a move that ended with one of MoveOutcomes.
func (m *Metrics) CountMove(outcome string) {
	m.add("sardinefront_moves", 1, attribute.String("outcome", outcome))
}

// OutcomeUnknown counts a claimed request whose run cannot be proven.
func (m *Metrics) CountUnknownOutcome() { m.add("sardinefront_outcomes_unknown", 1) }

// StoreCall counts a call to the platform's store; kind is read, write or watch.
func (m *Metrics) CountStoreCall(kind string) {
	m.add("sardinefront_store_calls", 1, attribute.String("kind", kind))
}

// StoreResult counts the end of a call to the platform's store.
func (m *Metrics) CountStoreResult(kind, result string) {
	m.add("sardinefront_store_results", 1, attribute.String("kind", kind), attribute.String("result", result))
}

// PeerBytes counts control traffic; direction is in or out.
func (m *Metrics) AddPeerBytes(direction string, n int) {
	m.add("sardinefront_peer_bytes", int64(n), attribute.String("direction", direction))
}

// Handler serves the metrics page.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
