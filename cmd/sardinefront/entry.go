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

// settingsEnv is the environment variable with the path of the settings file.
const settingsEnv = "SARDINEFRONT_CONFIG"

// memoryLimitRatio is the fraction of the configured memory that is set as the Go memory limit.
// The rest is for memory that the runtime does not count.
const memoryLimitRatio = 0.8

// programBytes is left for the pages of the program file, which count as memory of the process but not
// for the Go memory limit.
const programBytes = 20 << 20

// goMemoryLimit returns the Go memory limit for a configured memory in bytes: the memoryLimitRatio of
// it, or less so that programBytes are left, but at least half of that.
func goMemoryLimit(memory int64) int64 {
	limit := int64(memoryLimitRatio * float64(memory))
	return min(limit, max(limit/2, memory-programBytes))
}

// runEntry runs package gateway until a signal and returns the exit code.
func runEntry(file string) int {
	sink := logs.NewSink(os.Stdout)
	defer sink.Flush()
	handler := logs.NewHandler(sink)
	log := slog.New(handler)
	go logs.Run(context.Background(), sink, handler, log)
	if file == "" {
		file = os.Getenv(settingsEnv)
	}
	s, err := settings.Load(file)
	if err != nil {
		event.SettingsRejected.Log(log, slog.String("file", file), slog.Any("error", err))
		return exitBadSettings
	}
	handler.SetLevel(s.LogLevel())
	if mb := s.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(goMemoryLimit(int64(mb) << 20))
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	metrics, err := telemetry.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, "sardinefront:", err)
		return exitStartFailed
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
		return exitStartFailed
	}
	serveUntilStopped(g, file, signals, log, handler.SetLevel)
	if err := g.Stop(); err != nil {
		return exitForced
	}
	return exitOK
}

// reloadInterval is how often the settings file is checked for changes without a SIGHUP.
const reloadInterval = 2 * time.Second

// serveUntilStopped reloads the settings file when its content changes, until a signal other
// than SIGHUP arrives.
func serveUntilStopped(g *gateway.Gateway, file string, signals <-chan os.Signal, log *slog.Logger, setLevel func(slog.Level)) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	text, _ := os.ReadFile(file) // settings.Load has already read it successfully
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
		case <-t.C:
		}
		current, err := os.ReadFile(file)
		if err != nil || bytes.Equal(current, text) {
			continue
		}
		text = current
		reload(g, file, text, log, setLevel)
	}
}

// reload applies changed settings. If they are invalid, it logs the errors and keeps the active
// settings.
func reload(g *gateway.Gateway, file string, text []byte, log *slog.Logger, setLevel func(slog.Level)) {
	s, err := settings.Parse(file, text)
	if err != nil {
		event.SettingsRejected.Log(log, slog.String("file", file), slog.Any("error", err))
		return
	}
	setLevel(s.LogLevel())
	event.SettingsReloaded.Log(log, slog.String("file", file), slog.Bool("needsRestart", g.Reload(s)))
}
