package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"sardinefront.dev/platform"
	"sardinefront.dev/standin/engine"
	"sardinefront.dev/standin/platformd"
	"sardinefront.dev/standin/service"
)

// standinServer is implemented by all simulated servers.
type standinServer interface {
	Start(addr string) error
	Addr() string
	Close()
}

func standinCommand() command {
	kind, listen, name, version, list := "", "127.0.0.1:0", "standin", "1", ""
	rate, slots := 50, 16
	sub := flaggy.NewSubcommand("standin")
	sub.Description = "Runs a simulated engine, service or platform until it is interrupted."
	sub.AddPositionalValue(&kind, "kind", 1, true, "engine, service or platform")
	sub.String(&listen, "l", "listen", "IP:port to listen on")
	sub.String(&name, "n", "name", "name of the engine or service")
	sub.String(&version, "", "version-served", "version of the engine or service")
	sub.Int(&rate, "", "tokens-per-second", "output tokens per second of each stream of an engine")
	sub.Int(&slots, "", "slots", "number of requests that run concurrently")
	sub.String(&list, "", "list", "JSON file with the list of hosts and targets of the platform")
	return command{sub: sub, run: func(e *env) error {
		server, err := newStandin(kind, name, version, list, rate, slots)
		if err != nil {
			return err
		}
		return serveStandin(e, server, kind, listen)
	}}
}

func newStandin(kind, name, version, list string, rate, slots int) (standinServer, error) {
	switch kind {
	case "engine":
		return engine.New(engine.Config{Name: name, Version: version, TokensPerSecond: float64(rate), Slots: slots}), nil
	case "service":
		return service.New(service.Config{Name: name, Version: version, Slots: slots}), nil
	case "platform":
		endpoints, err := readEndpoints(list)
		return platformd.New(platformd.Config{Endpoints: endpoints}), err
	default:
		return nil, failf(ExitUsage, "standin: %q is not engine, service or platform", kind)
	}
}

func readEndpoints(file string) ([]platform.Endpoint, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("--list: %w", err)
	}
	var endpoints []platform.Endpoint
	if err := json.Unmarshal(text, &endpoints); err != nil {
		return nil, fmt.Errorf("--list: %s: %w", file, err)
	}
	return endpoints, nil
}

func serveStandin(e *env, server standinServer, kind, listen string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := server.Start(listen); err != nil {
		return err
	}
	defer server.Close()
	fmt.Fprintf(e.out, "%s listening on %s\n", kind, server.Addr())
	<-ctx.Done()
	return nil
}
