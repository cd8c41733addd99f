package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/logs"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/gateway"
	"sardinefront.dev/gateway/settings"
	"sardinefront.dev/platform/store"
	"sardinefront.dev/platform/wire"
)

// settingsVariable names the environment variable with the path of the settings.
const settingsVariable = "SARDINEFRONT_CONFIG"

// memoryPart is the part of the process's memory from which the collector works harder;
// the rest is for what it does not count.
const memoryPart = 0.8

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
	handler.SetLevel(s.LogLevel())
	if mb := s.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(mb) * (1 << 20)))
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
		Settings: s, Store: kv, Records: kv,
		Rollouts: wire.RolloutLayout(), CheckpointKey: wire.KeyCheckpoint,
		Layout: wire.DirectoryLayout(),
		Codec:  wire.Codec{}, ReadyPath: wire.ReadyPath, Metrics: metrics, MetricsHandler: metrics.Handler(), Log: log,
	})
	if err := g.Start(); err != nil {
		fmt.Fprintln(os.Stderr, "sardinefront:", err)
		return exitStart
	}
	serveUntilStopped(g, file, signals, log, handler.SetLevel)
	if err := g.Stop(); err != nil {
		return exitCut
	}
	return exitOK
}

// reloadEvery is how often the settings file is looked at: it may change without a
// signal.
const reloadEvery = 2 * time.Second

// serveUntilStopped follows the settings file until a signal to stop.
func serveUntilStopped(g *gateway.Gateway, file string, signals <-chan os.Signal, log *slog.Logger, setLevel func(slog.Level)) {
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	text, _ := os.ReadFile(file) // it was readable at the start
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
		case <-t.C:
		}
		now, err := os.ReadFile(file)
		if err != nil || bytes.Equal(now, text) {
			continue
		}
		text = now
		reload(g, file, text, log, setLevel)
	}
}

// reload takes changed settings, or reports their findings and keeps the old ones.
func reload(g *gateway.Gateway, file string, text []byte, log *slog.Logger, setLevel func(slog.Level)) {
	s, err := settings.Parse(file, text)
	if err != nil {
		event.SettingsRejected.Log(log, slog.String("file", file), slog.Any("error", err))
		return
	}
	setLevel(s.LogLevel())
	event.SettingsReloaded.Log(log, slog.String("file", file), slog.Bool("needsRestart", g.Reload(s)))
}
