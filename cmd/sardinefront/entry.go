package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/logs"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/gateway"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/settings"
	"sardinefront.dev/platform/store"
	"sardinefront.dev/platform/wire"
)

// settingsVariable names the environment variable with the path of the settings.
const settingsVariable = "SARDINEFRONT_CONFIG"

// runEntry serves as an entry host on the platform until a signal.
func runEntry(file string) int {
	sink := logs.NewSink(os.Stdout)
	defer sink.Flush()
	handler := logs.NewHandler(sink)
	log := slog.New(handler)
	go logs.Run(context.Background(), sink, handler, log)
	if file == "" {
		file = os.Getenv(settingsVariable)
	}
	s, err := settings.Load(file)
	if err != nil {
		event.SettingsRejected.Log(log, slog.String("file", file), slog.Any("error", err))
		return exitSettings
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	metrics, err := telemetry.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, "sardinefront:", err)
		return exitStart
	}
	kv := store.New(store.Config{Address: s.Store.Address, Counter: metrics})
	g := gateway.New(gateway.Config{
		Settings: s, Store: kv, RolloutStore: kv,
		Rollouts: gateway.RolloutLayout{
			StatusPrefix: wire.PrefixRolloutStatus, StartPrefix: wire.PrefixRolloutStart,
			Order: wire.RolloutOrder, Status: wire.RolloutStatus, ReadStatus: wire.ReadRolloutStatus,
		},
		Layout: directory.Layout{
			ConfigKey: wire.KeyConfig, TargetPrefix: wire.PrefixTargets, RolloutPrefix: wire.PrefixRollout,
			Target: wire.Target, Config: wire.Config,
		},
		Codec: wire.Codec{}, ReadyPath: wire.ReadyPath, Metrics: metrics, MetricsPage: metrics.Handler(), Log: log,
	})
	if err := g.Start(); err != nil {
		fmt.Fprintln(os.Stderr, "sardinefront:", err)
		return exitStart
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		event.SettingsReread.Log(log, slog.String("file", file))
	}
	if err := g.Stop(); err != nil {
		return exitCut
	}
	return exitOK
}
