// Command sardinefront runs the request scheduler on an entry host.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/host"
	"sardinefront.dev/host/settings"
)

// Exit codes of the process.
const (
	exitOK          = 0
	exitBadSettings = 2
	exitStartFailed = 3
	exitForced      = 4
)

func main() {
	os.Exit(run())
}

// run runs package host or, with the subcommand entry, package gateway until a signal. It
// returns the exit code.
func run() int {
	file := ""
	entry := flaggy.NewSubcommand("entry")
	entry.Description = "Runs an entry host on the platform. Without --settings, the path of the settings file is read from " + settingsEnv + "."
	flaggy.SetName("sardinefront")
	flaggy.SetDescription("Schedules the requests of callers onto targets. Each entry host runs one process.")
	flaggy.String(&file, "s", "settings", "YAML settings file; without one, a single host runs on loopback with an embedded store")
	flaggy.AttachSubcommand(entry, 1)
	flaggy.Parse()
	if entry.Used {
		return runEntry(file)
	}

	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	s, err := loadSettings(file)
	if err != nil {
		event.SettingsRejected.Log(log, slog.String("file", file))
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	// Signals are handled before the start, so that a signal during startup stops gracefully.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	h, err := startHost(s, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sardinefront:", err)
		return exitStartFailed
	}
	return drainOnSignal(h, s, signals)
}

func loadSettings(file string) (settings.Settings, error) {
	if file == "" {
		return settings.Defaults(), nil
	}
	return settings.Load(file)
}

func startHost(s settings.Settings, log *slog.Logger) (*host.Host, error) {
	metrics, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	h, err := host.Build(s, log, metrics)
	if err != nil {
		return nil, err
	}
	return h, h.Start()
}

// drainOnSignal waits for a signal or a drain command, then stops the host gracefully and returns
// the exit code. A second signal ends the wait for requests in progress.
func drainOnSignal(h *host.Host, s settings.Settings, signals <-chan os.Signal) int {
	select {
	case <-signals:
	case <-h.DrainRequested():
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.Limits.DrainTimeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if left := h.Stop(ctx); left > 0 {
		fmt.Fprintf(os.Stderr, "sardinefront: stopped with %d requests in progress\n", left)
		return exitForced
	}
	return exitOK
}
