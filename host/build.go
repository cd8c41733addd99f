package host

import (
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/host/settings"
	"sardinefront.dev/platform/httpkv"
	"sardinefront.dev/platform/memkv"
)

// Build returns a Host for the settings. It uses the platform's service, or an embedded store if
// the settings have no address for it.
func Build(s settings.Settings, log *slog.Logger, metrics *telemetry.Metrics) (*Host, error) {
	d := Dependencies{Log: log, Metrics: metrics}
	if s.Platform.Address == "" {
		event.EmbeddedStore.Log(log)
		d.Store = memkv.New(time.Now)
		return New(s, d), nil
	}
	client := httpkv.New(httpkv.Config{
		Address:         s.Platform.Address,
		CallerName:      s.Host.Name,
		ReadsPerSecond:  s.Platform.ReadsPerSecond,
		WritesPerSecond: s.Platform.WritesPerSecond,
		Counter:         metrics,
	})
	d.Store, d.HostList, d.Weights = client, client, client
	return New(s, d), nil
}
