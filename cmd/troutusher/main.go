// Command troutusher is a message relay: it accepts messages from clients, delivers them to the
// endpoints of their destinations, and reports those that it gives up or hands back. It is configured
// by environment variables and by the file named in ROUTER_CONFIG.
package main

import (
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"troutusher/internal/clock"
	"troutusher/internal/relay"
)

// Exit codes.
const (
	exitFailed = 1
	exitConfig = 2
)

func main() {
	// SIGHUP is caught before anything else, since by default it terminates the process.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	level := slog.LevelInfo
	if os.Getenv("ROUTER_LOG") == "debug" { // also logs each accepted message, delivery and confirmed notice
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	cfg, err := relay.LoadConfig(os.Getenv)
	if err != nil {
		log.Error("cannot load the configuration", "err", err)
		os.Exit(exitConfig)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	reload := relay.Reload{Requested: reloadSignals,
		Read: func() (*relay.Config, error) { return relay.ReloadConfig(os.Getenv) }}
	if err := relay.Run(cfg, clock.System(), log, ctx.Done(), reload); err != nil {
		log.Error("relay failed", "err", err)
		os.Exit(exitFailed)
	}
}
