package gateway

import (
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/core/telemetry"
)

// registerGauges registers the sources of the gauges.
func (g *Gateway) registerGauges() error {
	one := func(v float64) []telemetry.GaugeValue { return []telemetry.GaugeValue{{Value: v}} }
	gauges := map[string]func() []telemetry.GaugeValue{
		"sardinefront_config_version": func() []telemetry.GaugeValue { return one(float64(g.routing.Version())) },
		"sardinefront_target_list_age": func() []telemetry.GaugeValue {
			return one(g.dir.ListAge(time.Now()).Seconds())
		},
		"sardinefront_peers": func() []telemetry.GaugeValue { return one(float64(len(g.mesh.Alive(time.Now())))) },
		"sardinefront_peer_sent_datagrams": func() []telemetry.GaugeValue {
			datagrams, _ := g.mesh.Traffic()
			return one(float64(datagrams))
		},
		"sardinefront_peer_sent_bytes": func() []telemetry.GaugeValue {
			_, bytes := g.mesh.Traffic()
			return one(float64(bytes))
		},
		"sardinefront_waiting":         g.waitingSamples,
		"sardinefront_targets":         g.targetSamples,
		"sardinefront_evacuated_zones": func() []telemetry.GaugeValue { return one(float64(len(g.dir.EvacuatedZones()))) },
		"sardinefront_body_bytes":      func() []telemetry.GaugeValue { return one(float64(g.ingress.BodyBytes())) },
	}
	for name, read := range gauges {
		if err := g.cfg.Metrics.RegisterGauge(name, read); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateway) waitingSamples() []telemetry.GaugeValue {
	var out []telemetry.GaugeValue
	for name, s := range g.schedulers.Stats() {
		for t, n := range s.Waiting {
			out = append(out, telemetry.GaugeValue{Labels: []string{request.Tier(t).String(), name}, Value: float64(n)})
		}
	}
	return out
}

func (g *Gateway) targetSamples() []telemetry.GaugeValue {
	var out []telemetry.GaugeValue
	for name, s := range g.schedulers.Stats() {
		out = append(out,
			telemetry.GaugeValue{Labels: []string{name, "used"}, Value: float64(s.Targets)},
			telemetry.GaugeValue{Labels: []string{name, "ejected"}, Value: float64(s.Ejected)},
			telemetry.GaugeValue{Labels: []string{name, "leaving"}, Value: float64(s.Leaving)},
			telemetry.GaugeValue{Labels: []string{name, "backed-off"}, Value: float64(s.BackedOff)},
			telemetry.GaugeValue{Labels: []string{name, "evacuated"}, Value: float64(s.Evacuated)},
			telemetry.GaugeValue{Labels: []string{name, "paced"}, Value: float64(s.Paced)})
	}
	return out
}
