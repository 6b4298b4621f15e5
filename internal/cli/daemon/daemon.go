// Package daemon runs the daemon of one entry VM on leased endpoints. It is separate from the
// other commands so that dahliawinchd starts without their dependencies.
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

// maxLinesPerSecond limits the log lines of one message: it lets through every request of a busy
// VM (about 40 a second) and keeps a flood under 100 KB a second.
const maxLinesPerSecond = 200

// pollInterval is how often the settings file is read: it may change without a signal.
const pollInterval = time.Second

// Short and Long are the help texts of the command.
const (
	Short = "Run the daemon of one entry VM on leased endpoints"
	Long  = "Run the daemon of one entry VM whose endpoints are leased from a platform. The\nsettings file is named here or by the variable " + platform.SettingsVar + ". SIGHUP or a\nchange of the file takes it over again; SIGTERM hands over and ends."
)

// Run runs the daemon until a signal. The first argument, or else the platform's environment
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
	limitMemory(set)
	lines := sink.New(out)
	log := slog.New(sample.Limit(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: slog.Level(set.LogLevel())}), maxLinesPerSecond))
	drain, kill, stop := Signals()
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
		return &runError{fmt.Errorf("start: %w", err)}
	}
	go watchSettings(kill, path, log, d.Reload)
	if err := d.Run(kill, drain); err != nil {
		return &runError{fmt.Errorf("run: %w", err)}
	}
	return nil
}

// Exit codes for errors.
const (
	exitFailed = 1
	exitUsage  = 2
)

// ExitCode returns the exit code for an error: exitFailed if the settings were valid and the
// daemon failed, exitUsage for all else.
func ExitCode(err error) int {
	var failed *runError
	if errors.As(err, &failed) {
		return exitFailed
	}
	return exitUsage
}

// runError is an error of a daemon whose settings are valid.
type runError struct{ err error }

func (f *runError) Error() string { return f.err.Error() }
func (f *runError) Unwrap() error { return f.err }

// Signals returns a context that the first signal cancels, and one that the second cancels.
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

// heapFraction is the part of the process's memory limit that is set as the soft limit of Go's runtime,
// near which the garbage collector runs more often.
const heapFraction = 0.6

// gcPercent is the heap growth, in percent of the live heap, at which a collection starts. The
// heap is small, so collecting it more often costs little, and the peak is what is paid for. With
// 97 VMs for 30 s: 16.6 MB a VM and 136 s of processor time in total; at Go's default of 100, 20.1
// MB and 123 s (simulated, one run each).
const gcPercent = 50

// limitMemory configures the garbage collector to keep the process under its memory limit.
func limitMemory(set serve.Settings) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapFraction * float64(set.Memory) * (1 << 20)))
}

// watchSettings applies the settings when the file changes; SIGHUP makes it read the file at once.
func watchSettings(ctx context.Context, path string, log *slog.Logger, apply func(serve.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	last, _ := os.ReadFile(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			log.Info("reloading settings on SIGHUP")
		case <-t.C:
		}
		text, err := os.ReadFile(path)
		if err != nil || string(text) == string(last) {
			continue
		}
		last = text
		set, err := serve.Read(path)
		if err != nil {
			log.Warn("settings reload failed, keeping the current ones", "err", err)
			continue
		}
		apply(set)
	}
}
