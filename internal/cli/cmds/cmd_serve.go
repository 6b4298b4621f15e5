package cmds

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dahliawinch/internal/base/sample"
	"dahliawinch/internal/base/sink"
	"dahliawinch/internal/edge/serve"
	"dahliawinch/platform"
)

// linesPerSecond of one message are logged, so that every request of a busy VM can be
// followed (it takes about 40 a second) and a flood stays under 100 KB a second.
const linesPerSecond = 200

// lookEvery is how often the settings file is looked at: it may change without a signal.
const lookEvery = time.Second

var cmdServe = command{
	use: "serve [SETTINGS.json]", short: "Run the daemon of one entry VM on leased endpoints",
	long: "Run the daemon of one entry VM whose endpoints are leased from a platform. The\nsettings file is named here or by the variable " + platform.SettingsVar + ". SIGHUP or a\nchange of the file takes it over again; SIGTERM hands over and ends.",
	args: cobra.MaximumNArgs(1),
	action: func(c *cobra.Command, args []string) error {
		path := os.Getenv(platform.SettingsVar)
		if len(args) == 1 {
			path = args[0]
		}
		set, err := serve.Read(path)
		if err != nil {
			return fmt.Errorf("serve: %w", err)
		}
		bound(set)
		out := sink.New(c.OutOrStdout())
		log := slog.New(sample.Limit(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.Level(set.LogLevel())}), linesPerSecond))
		leave, kill, stop := signals()
		defer stop()
		logs, done := context.WithCancel(context.Background())
		defer out.Flush()
		defer done()
		go out.Run(logs)
		store := platform.NewStore(set.Store)
		d, err := serve.New(kill, set, serve.Platform{
			Agent: platform.NewWorkers(), Plans: store.Plans(), Endpoints: store.Endpoints(), VMs: store.VMs(),
			Callers: platform.Callers, Ready: platform.Ready,
		}, log)
		if err != nil {
			return failed(fmt.Errorf("serve: %w", err))
		}
		go follow(kill, path, log, d.Reload)
		if err := d.Run(kill, leave); err != nil {
			return failed(fmt.Errorf("serve: %w", err))
		}
		return nil
	},
}

// heapPart is the part of the memory limit at which the collector works harder.
const heapPart = 0.6

// growth is by how much, in percent of what is in use, the heap grows until it is collected. The
// heap is small, so collecting it more often costs little, and the peak is what is paid for: 16.6
// MB a VM among 97 for 136 s of processor time of all in 30 s, 20.1 MB for 123 s at the usual 100
// (played, one run each).
const growth = 50

// bound keeps the process under its memory limit.
func bound(set serve.Settings) {
	debug.SetGCPercent(growth)
	debug.SetMemoryLimit(int64(heapPart * float64(set.Memory) * (1 << 20)))
}

// follow takes the settings over when the file changes or a signal says so.
func follow(ctx context.Context, path string, log *slog.Logger, take func(serve.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	last, _ := os.ReadFile(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			log.Info("told to look at the settings")
		case <-t.C:
		}
		text, err := os.ReadFile(path)
		if err != nil || string(text) == string(last) {
			continue
		}
		last = text
		set, err := serve.Read(path)
		if err != nil {
			log.Warn("settings stay as they were", "err", err)
			continue
		}
		take(set)
	}
}
