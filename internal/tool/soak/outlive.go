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

// outlivedBucket is the prefix of the lines of one histogram: how long runs went on after the last keepalive of their job.
const outlivedBucket = `dahliawinch_outlived_seconds_bucket{le="`

// outlived returns the bound of the highest non-empty bucket of all VMs' histograms, or an hour if it is the last, unbounded
// bucket. Restarted daemons have counted since their restart only.
func (s *Soak) outlived() (longest time.Duration, err error) {
	for _, v := range s.vms {
		text, err := v.metrics()
		if err != nil {
			return longest, err
		}
		d, err := highestBucket(text)
		if err != nil {
			return longest, fmt.Errorf("metrics of vm %d: %w", v.n, err)
		}
		longest = max(longest, d)
	}
	return longest, nil
}

// highestBucket returns the bound of the histogram's highest non-empty bucket.
func highestBucket(text []byte) (bound time.Duration, err error) {
	prev := 0.0
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
		if n == prev {
			continue
		}
		prev = n
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

// metrics returns the text of a VM's metrics.
func (v *vm) metrics() ([]byte, error) {
	_, text, err := fasthttp.GetTimeout(nil, fmt.Sprintf("http://%s/metrics", v.settings["metrics"]), time.Second)
	if err != nil {
		return nil, fmt.Errorf("metrics of vm %d: %w", v.n, err)
	}
	return text, nil
}

// timedOut returns the number of jobs whose time ran out after they had begun, as all VMs have counted since they started.
func (s *Soak) timedOut() (n int, err error) {
	for _, v := range s.vms {
		text, err := v.metrics()
		if err != nil {
			return n, err
		}
		for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
			if l := lines.Text(); strings.HasPrefix(l, "dahliawinch_jobs_total{") && strings.Contains(l, `outcome="unknown",reason="deadline"`) {
				count, err := strconv.Atoi(l[strings.LastIndexByte(l, ' ')+1:])
				if err != nil {
					return n, fmt.Errorf("metrics of vm %d: %s: %w", v.n, l, err)
				}
				n += count
			}
		}
	}
	return n, nil
}
