package sample

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a VM that spends its time on logging during a flood of failures: the same
// event occurs ten thousand times in a second, with a line for each.
func TestRepeatedMessageIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := slog.New(New(slog.NewTextHandler(&out, nil))).With("vm", "a")
		for range 10_000 {
			log.Info("flood")
		}
		log.Info("other")
		is.Equal(strings.Count(out.String(), "msg=flood"), PerSecond)
		is.Equal(strings.Count(out.String(), "msg=other vm=a"), 1)
		time.Sleep(time.Second)
		log.Info("flood")
		is.True(strings.Contains(out.String(), "left_out=9980"))
	})
}
