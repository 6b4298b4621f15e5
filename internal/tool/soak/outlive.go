package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// outlivedBucket begins the lines of the histogram of how long runs go on after the last keepalive of their job.
const outlivedBucket = `dahliawinch_outlived_seconds_bucket{le="`

// outlived is the bound of the highest bucket of any VM's histogram that is not empty. A daemon that was restarted has
// counted since then; beyond the last bucket it is an hour.
func (s *Soak) outlived() (most time.Duration, err error) {
	for _, v := range s.vms {
		_, text, err := fasthttp.GetTimeout(nil, fmt.Sprintf("http://%s/metrics", v.set["metrics"]), time.Second)
		if err != nil {
			return most, fmt.Errorf("metrics of vm %d: %w", v.n, err)
		}
		d, err := highest(text)
		if err != nil {
			return most, fmt.Errorf("metrics of vm %d: %w", v.n, err)
		}
		most = max(most, d)
	}
	return most, nil
}

// highest is the bound of the histogram's highest bucket that is not empty.
func highest(text []byte) (bound time.Duration, err error) {
	before := 0.0
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		rest, ok := strings.CutPrefix(lines.Text(), outlivedBucket)
		if !ok {
			continue
		}
		le, count, _ := strings.Cut(rest, `"} `)
		n, err := strconv.ParseFloat(count, 64)
		if err != nil {
			return 0, fmt.Errorf("bucket %s: %w", le, err)
		}
		if n == before {
			continue
		}
		before = n
		if le == "+Inf" {
			bound = time.Hour
			continue
		}
		if bound, err = time.ParseDuration(le + "s"); err != nil {
			return 0, fmt.Errorf("bucket %s: %w", le, err)
		}
		bound = bound.Round(time.Millisecond)
	}
	return bound, nil
}
