// Package daemon runs the daemon of one entry VM on leased endpoints. It is apart from the other
// commands, so that a program that is this daemon alone starts without what they bring.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

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

// What the command is, for its help.
const (
	Short = "Run the daemon of one entry VM on leased endpoints"
	Long  = "Run the daemon of one entry VM whose endpoints are leased from a platform. The\nsettings file is named here or by the variable " + platform.SettingsVar + ". SIGHUP or a\nchange of the file takes it over again; SIGTERM hands over and ends."
)

// Run runs the daemon until it is told to leave. The first argument, or else the platform's
// variable, names the settings file.
func Run(args []string, out io.Writer) error {
	path := os.Getenv(platform.SettingsVar)
	if len(args) > 0 {
		path = args[0]
	}
	set, err := serve.Read(path)
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	bound(set)
	lines := sink.New(out)
	log := slog.New(sample.Limit(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: slog.Level(set.LogLevel())}), linesPerSecond))
	leave, kill, stop := Signals()
	defer stop()
	logs, done := context.WithCancel(context.Background())
	defer lines.Flush()
	defer done()
	go lines.Run(logs)
	store := platform.NewStore(set.Store)
	d, err := serve.New(kill, set, serve.Platform{
		Agent: platform.NewWorkers(), Plans: store.Plans(), Endpoints: store.Endpoints(), VMs: store.VMs(), Presence: store.Presence(),
		Callers: platform.Callers, Ready: platform.Ready,
	}, log)
	if err != nil {
		return &failure{fmt.Errorf("start: %w", err)}
	}
	go follow(kill, path, log, d.Reload)
	if err := d.Run(kill, leave); err != nil {
		return &failure{fmt.Errorf("run: %w", err)}
	}
	return nil
}

// The exit codes of a daemon that did not end as it was told to.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Code is the exit code for an error: a daemon that ran failed, all else is a wrong call.
func Code(err error) int {
	var failed *failure
	if errors.As(err, &failed) {
		return exitFailed
	}
	return exitUsage
}

// failure is an error of a daemon whose settings are good.
type failure struct{ err error }

func (f *failure) Error() string { return f.err.Error() }
func (f *failure) Unwrap() error { return f.err }

// Signals returns a context that the first signal ends, and one for the second.
func Signals() (first, second context.Context, stop func()) {
	first, stop1 := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	second, cancel := context.WithCancel(context.Background())
	go func() {
		<-first.Done()
		stop1()
		again, stop2 := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop2()
		select {
		case <-again.Done():
			cancel()
		case <-second.Done():
		}
	}()
	return first, second, func() { stop1(); cancel() }
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
