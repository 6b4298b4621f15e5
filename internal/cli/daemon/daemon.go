// Package daemon runs the daemon of one entry VM on leased endpoints. It is apart from the other
// commands, so that a program that is this daemon alone starts without what they bring.
package daemon

import (
	"context"
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

// Run runs the daemon with the settings of a file until it is told to leave; without a path the
// file is the one that the platform names.
func Run(path string, out io.Writer) error {
	if path == "" {
		path = os.Getenv(platform.SettingsVar)
	}
	set, err := serve.Read(path)
	if err != nil {
		return &SettingsError{err}
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
		Agent: platform.NewWorkers(), Plans: store.Plans(), Endpoints: store.Endpoints(), VMs: store.VMs(),
		Callers: platform.Callers, Ready: platform.Ready,
	}, log)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	go follow(kill, path, log, d.Reload)
	if err := d.Run(kill, leave); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return nil
}

// SettingsError says that the settings can't be used; nothing was started.
type SettingsError struct{ Err error }

func (e *SettingsError) Error() string { return e.Err.Error() }

// Unwrap returns what is wrong with them.
func (e *SettingsError) Unwrap() error { return e.Err }

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
