// Command coralyard runs one delivery node. Environment variables name its files and addresses.
package main

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"starlingusher/internal/node"
)

const (
	reloadRetryDelay = 100 * time.Millisecond
	maxReloadTries   = 50 // of one signal
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel(os.Getenv("ROUTER_LOG"))}))
	if err := run(log); err != nil {
		log.Error("coralyard failed", "err", err)
		os.Exit(1)
	}
}

// logLevel parses the name of a log level; any other text means slog.LevelInfo.
func logLevel(name string) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return level
}

func run(log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // a signal during a reload asks for another
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := load()
	if err != nil {
		return err
	}
	log = log.With("node", cfg.Name)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	if mb := float64(cfg.Limits.MemoryMB); mb > 0 {
		// About half of the limit: socket buffers, stacks and the journal's two files count against it as
		// well.
		debug.SetMemoryLimit(int64(max((mb-cfg.Limits.DiskMB)/2, mb/4) * (1 << 20)))
	}
	admin, err := node.ListenAdmin(ctx, cfg, log)
	if err != nil {
		return err
	}
	defer admin.Close()
	for {
		n, err := serve(ctx, cfg, log, hup, admin)
		switch {
		case ctx.Err() != nil && (errors.Is(err, ctx.Err()) || errors.Is(err, node.ErrSuccessorGone)):
			return nil // told to end while it did not have the node
		case !errors.Is(err, node.ErrSuccessorGone):
			return err
		}
		log.Error("the successor is gone; taking the node back", "err", err)
		cfg = n.TakeBackConfig(latestConfig(cfg, log))
	}
}

// latestConfig reads the configuration again, since it may have been replaced. One that can't be read changes nothing.
func latestConfig(current node.Config, log *slog.Logger) node.Config {
	latest, err := load()
	if err != nil {
		log.Error("the configuration can't be read again; the old one stays", "err", err)
		return current
	}
	return latest
}

// load reads the configuration. Environment variables take precedence over the file.
func load() (node.Config, error) {
	cfg, err := node.LoadConfig(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
	if err != nil {
		return cfg, err
	}
	if addr := os.Getenv("ROUTER_ADMIN_ADDR"); addr != "" {
		cfg.AdminAddr = addr
	}
	cfg.Fleet, err = node.LoadFleet(os.Getenv("ROUTER_FLEET"))
	return cfg, err
}

// serve runs the node from when this process has it until it ends or is handed over. The node is nil if this process never
// had it.
func serve(ctx context.Context, cfg node.Config, log *slog.Logger, hup <-chan os.Signal, admin *node.Admin) (*node.Node, error) {
	n, ln, err := node.Start(ctx, cfg, log)
	if err != nil {
		return nil, err
	}
	admin.SetNode(n)
	done := make(chan struct{})
	var reloads sync.WaitGroup
	reloads.Go(func() { reload(log, hup, done, n) })
	defer reloads.Wait()
	defer close(done)
	return n, n.Run(ctx, ln)
}

// reload reads the configuration again at each SIGHUP, and moves the node to the discovery addresses in it.
// An invalid configuration changes nothing. It is read again for a while: the file may be in the course of
// being replaced, or unreadable for a moment.
func reload(log *slog.Logger, hup <-chan os.Signal, done <-chan struct{}, n *node.Node) {
	retry := time.NewTimer(0)
	retry.Stop()
	for tries := 0; ; {
		select {
		case <-done:
			return
		case <-hup:
			tries = 0
		case <-retry.C:
		}
		cfg, err := load()
		if err == nil {
			retry.Stop()
			n.Reload(cfg)
			continue
		}
		if tries == 0 {
			log.Error("the configuration can't be reloaded; the old one stays", "err", err)
		}
		if tries++; tries < maxReloadTries {
			retry.Reset(reloadRetryDelay)
		}
	}
}
