// Package telemetry declares all metrics and serves them in the Prometheus text format.
// docs/metrics.md lists them.
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

// Spec describes one metric. Kind is counter, gauge or histogram; Unit is in UCUM
// notation.
type Spec struct {
	Name    string
	Kind    string
	Unit    string
	Labels  []string
	Meaning string
}

// Specs lists every metric of the process.
var Specs = []Spec{
	{"sardinefront_requests", "counter", "{request}", []string{"tier", "pool"}, "Requests received."},
	{"sardinefront_answers", "counter", "{request}", []string{"tier", "pool"}, "Requests with a complete response within the time that the rules require."},
	{"sardinefront_refusals", "counter", "{request}", []string{"tier", "reason"}, "Refused requests, by reason."},
	{"sardinefront_retries", "counter", "{request}", []string{"reason"}, "Retries of requests, by reason."},
	{"sardinefront_first_token", "histogram", "s", []string{"tier"}, "Time from arrival to the first byte of the response."},
	{"sardinefront_wasted_prefill", "counter", "{token}", []string{"cause"}, "Prompt tokens whose prefill was wasted, by cause."},
	{"sardinefront_moves", "counter", "{move}", []string{"outcome"}, "Outcomes of version moves."},
	{"sardinefront_outcomes_unknown", "counter", "{request}", nil, "Claimed requests for which it cannot be proven whether they ran."},
	{"sardinefront_store_calls", "counter", "{call}", []string{"kind"}, "Calls to the platform's store."},
	{"sardinefront_store_results", "counter", "{call}", []string{"kind", "result"}, "Completed calls to the platform's store, by result."},
	{"sardinefront_reservations", "counter", "{reservation}", []string{"service", "result"}, "Reservations requested from engines, by result."},
	{"sardinefront_queue_wait", "histogram", "s", []string{"tier"}, "Time from arrival until the request is sent to a target."},
	{"sardinefront_event_pause", "histogram", "s", []string{"tier"}, "Longest pause between two events of a completed response stream."},
	{"sardinefront_first_event_error", "histogram", "s", []string{"tier"}, "Difference between the expected and the measured time from the send of a request to the first event of its stream, without its sign."},
	{"sardinefront_target_connections", "counter", "{connection}", []string{"result"}, "Attempts to open a connection to a target, by result."},
	{"sardinefront_prompt_parts", "counter", "{change}", []string{"change"}, "Changes of the state of prompt parts that crash targets: suspected, quarantined or released."},
	{"sardinefront_waiting", "gauge", "{request}", []string{"tier", "service"}, "Requests waiting for a target."},
	{"sardinefront_targets", "gauge", "{target}", []string{"service", "state"}, "Targets by state: all in use (used), and those of them that are ejected (ejected), leaving (leaving), in a back-off that they asked for (backed-off), paced (paced) or in an evacuated availability zone (evacuated)."},
	{"sardinefront_evacuated_zones", "gauge", "{zone}", nil, "Availability zones that the operator has evacuated: their targets get no requests."},
	{"sardinefront_targets_closed", "counter", "{target}", []string{"service", "reason"}, "Targets that this host stopped sending requests to, because they were leaving (leaving) or asked for a back-off (backed-off)."},
	{"sardinefront_load_reports_unreadable", "counter", "{response}", []string{"service"}, "Load reports of targets that could not be read and were ignored."},
	{"sardinefront_pace_held_back", "counter", "{target}", []string{"service"}, "Times that a target was passed over for a waiting request, or a granted request was not sent there, because of the target's pace."},
	{"sardinefront_retry_after_rejected", "counter", "{response}", []string{"service"}, "Retry-After values of targets that were unreadable, negative or too long."},
	{"sardinefront_client_limits", "counter", "{event}", []string{"cause"}, "Clients that were refused or closed at a bound of the process: request body that gave way (body), too many connections (full), request head with too many lines or bytes (head)."},
	{"sardinefront_body_bytes", "gauge", "By", nil, "Memory held by request bodies."},
	{"sardinefront_config_version", "gauge", "", nil, "Version of the active configuration."},
	{"sardinefront_target_list_age", "gauge", "s", nil, "Time since the target list was last confirmed to be current."},
	{"sardinefront_peers", "gauge", "{host}", nil, "Other hosts that are alive."},
	{"sardinefront_peer_sent_datagrams", "gauge", "{datagram}", nil, "Datagrams sent to other hosts since the process started."},
	{"sardinefront_peer_sent_bytes", "gauge", "By", nil, "Bytes of the datagrams sent to other hosts since the process started."},
	{"sardinefront_peer_bytes", "counter", "By", []string{"direction"}, "Bytes of control traffic with other hosts."},
}

// WasteCause is the reason why the prefill of a prompt was wasted.
type WasteCause string

// The causes of wasted prefill.
const (
	WasteCachedElsewhere WasteCause = "cached-elsewhere"
	WasteCancelled       WasteCause = "cancelled"
	WasteRefused         WasteCause = "refused-after-run"
	WasteTargetLost      WasteCause = "target-lost"
)

var wasteCauses = []WasteCause{WasteCachedElsewhere, WasteCancelled, WasteRefused, WasteTargetLost}

// MoveOutcomes are the values of the label outcome of the metric sardinefront_moves.
var MoveOutcomes = []string{"done", "taken-back", "late"}

// Metrics records the metrics of the process. All methods are safe for concurrent use.
type Metrics struct {
	registry   *prometheus.Registry
	meter      metric.Meter
	counters   map[string]metric.Int64Counter
	histograms map[string]metric.Float64Histogram
}

// latencyBuckets are the bounds of all histograms, in seconds. 0.59 is the target for the time
// to first token.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.59, 1, 2, 5, 10, 30, 60}

// New declares all metrics and sets each refusal, retry, waste and move series to zero, so that
// a missing series always means that the process is not running.
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
	m.initSeries()
	return m, nil
}

func (m *Metrics) declare(meter metric.Meter, s Spec) error {
	switch s.Kind {
	case "gauge": // declared by RegisterGauge
		return nil
	case "histogram":
		h, err := meter.Float64Histogram(s.Name, metric.WithUnit(s.Unit), metric.WithDescription(s.Meaning),
			metric.WithExplicitBucketBoundaries(latencyBuckets...))
		m.histograms[s.Name] = h
		return err
	}
	c, err := meter.Int64Counter(s.Name, metric.WithUnit(s.Unit), metric.WithDescription(s.Meaning))
	m.counters[s.Name] = c
	return err
}

func (m *Metrics) initSeries() {
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

// CountRequest counts a received request.
func (m *Metrics) CountRequest(t request.Tier, pool string) {
	m.add("sardinefront_requests", 1, attribute.String("tier", t.String()), attribute.String("pool", pool))
}

// CountAnswered counts a request with a complete response within the required time.
func (m *Metrics) CountAnswered(t request.Tier, pool string) {
	m.add("sardinefront_answers", 1, attribute.String("tier", t.String()), attribute.String("pool", pool))
}

// CountRefusal counts a refused request.
func (m *Metrics) CountRefusal(t request.Tier, r refusal.Reason) {
	m.add("sardinefront_refusals", 1, attribute.String("tier", t.String()), attribute.String("reason", r.String()))
}

// CountRetry counts a retry of a request.
func (m *Metrics) CountRetry(r refusal.RetryReason) {
	m.add("sardinefront_retries", 1, attribute.String("reason", r.String()))
}

// RecordFirstToken records the time from arrival to the first byte of a response.
func (m *Metrics) RecordFirstToken(t request.Tier, seconds float64) {
	m.recordSeconds("sardinefront_first_token", t, seconds)
}

func (m *Metrics) recordSeconds(name string, t request.Tier, seconds float64) {
	m.histograms[name].Record(context.Background(), seconds, metric.WithAttributes(attribute.String("tier", t.String())))
}

// RecordQueueWait records the time from arrival until a request is sent to a target.
func (m *Metrics) RecordQueueWait(t request.Tier, seconds float64) {
	m.recordSeconds("sardinefront_queue_wait", t, seconds)
}

// RecordEventPause records the longest pause between two events of a response stream.
func (m *Metrics) RecordEventPause(t request.Tier, seconds float64) {
	m.recordSeconds("sardinefront_event_pause", t, seconds)
}

// CountReservation counts a requested reservation; result is granted, refused or failed.
func (m *Metrics) CountReservation(service, result string) {
	m.add("sardinefront_reservations", 1, attribute.String("service", service), attribute.String("result", result))
}

// CountTargetClosed counts a target that gets no requests any more; reason is leaving or
// backed-off.
func (m *Metrics) CountTargetClosed(service, reason string) {
	m.add("sardinefront_targets_closed", 1, attribute.String("service", service), attribute.String("reason", reason))
}

// CountPaceHeldBack counts how often a target was passed over because of its pace.
func (m *Metrics) CountPaceHeldBack(service string, n int) {
	m.add("sardinefront_pace_held_back", int64(n), attribute.String("service", service))
}

// RecordFirstEventError records by how much the expected time to the first event of a stream was wrong.
func (m *Metrics) RecordFirstEventError(t request.Tier, seconds float64) {
	m.recordSeconds("sardinefront_first_event_error", t, seconds)
}

// CountUnreadableLoad counts a load report of a target that could not be read.
func (m *Metrics) CountUnreadableLoad(service string) {
	m.add("sardinefront_load_reports_unreadable", 1, attribute.String("service", service))
}

// CountClientLimit counts a client that was refused or closed at a bound of the process.
func (m *Metrics) CountClientLimit(cause string) {
	m.add("sardinefront_client_limits", 1, attribute.String("cause", cause))
}

// CountRetryAfterRejected counts a Retry-After value of a target that was ignored.
func (m *Metrics) CountRetryAfterRejected(service string) {
	m.add("sardinefront_retry_after_rejected", 1, attribute.String("service", service))
}

// CountDial counts an attempt to open a connection to a target; ok reports its success.
func (m *Metrics) CountDial(ok bool) {
	result := "made"
	if !ok {
		result = "failed"
	}
	m.add("sardinefront_target_connections", 1, attribute.String("result", result))
}

// CountPromptPart counts a change of the state of a prompt part: suspected, quarantined or
// released.
func (m *Metrics) CountPromptPart(change string) {
	m.add("sardinefront_prompt_parts", 1, attribute.String("change", change))
}

// GaugeValue is the value of one series of a gauge. Labels holds the label values in the order
// of the labels in the gauge's Spec.
type GaugeValue struct {
	Labels []string
	Value  float64
}

// RegisterGauge declares a gauge of Specs whose values are read by a function. The function is
// called at each scrape and must be safe for concurrent use. RegisterGauge returns an error if
// Specs has no gauge of that name.
func (m *Metrics) RegisterGauge(name string, read func() []GaugeValue) error {
	spec, err := gaugeSpec(name)
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

// gaugeSpec returns the Spec of a gauge.
func gaugeSpec(name string) (Spec, error) {
	for _, s := range Specs {
		if s.Name == name && s.Kind == "gauge" {
			return s, nil
		}
	}
	return Spec{}, fmt.Errorf("telemetry: Specs has no gauge named %q", name)
}

// AddWastedPrefill counts prompt tokens whose prefill was wasted.
func (m *Metrics) AddWastedPrefill(c WasteCause, tokens int) {
	m.add("sardinefront_wasted_prefill", int64(tokens), attribute.String("cause", string(c)))
}

// CountMove counts an outcome of a version move, which is one of MoveOutcomes.
func (m *Metrics) CountMove(outcome string) {
	m.add("sardinefront_moves", 1, attribute.String("outcome", outcome))
}

// CountUnknownOutcome counts a claimed request for which it cannot be proven whether it ran.
func (m *Metrics) CountUnknownOutcome() { m.add("sardinefront_outcomes_unknown", 1) }

// CountStoreCall counts a call to the platform's store; kind is read, write or watch.
func (m *Metrics) CountStoreCall(kind string) {
	m.add("sardinefront_store_calls", 1, attribute.String("kind", kind))
}

// CountStoreResult counts the result of a completed call to the platform's store.
func (m *Metrics) CountStoreResult(kind, result string) {
	m.add("sardinefront_store_results", 1, attribute.String("kind", kind), attribute.String("result", result))
}

// AddPeerBytes counts bytes of control traffic with other hosts; direction is in or out.
func (m *Metrics) AddPeerBytes(direction string, n int) {
	m.add("sardinefront_peer_bytes", int64(n), attribute.String("direction", direction))
}

// Handler returns the HTTP handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
