package soak

import (
	"testing"
	"time"
)

// Guards against a bound that is too high: counts are cumulative, so a bucket without runs of its own has the count of the
// bucket below.
func TestHighestBucketIsOneThatCounted(t *testing.T) {
	const head = `dahliawinch_outlived_seconds_bucket{le="0.1"} 2
dahliawinch_outlived_seconds_bucket{le="1.0999999999999999"} 3
dahliawinch_outlived_seconds_bucket{le="1.2"} 3
`
	for text, want := range map[string]time.Duration{
		"": 0,
		head + `dahliawinch_outlived_seconds_bucket{le="+Inf"} 3`: 1100 * time.Millisecond,
		head + `dahliawinch_outlived_seconds_bucket{le="+Inf"} 4`: time.Hour,
	} {
		if got, err := highestBucket([]byte(text)); err != nil || got != want {
			t.Errorf("%s, %v of %q, want %s", got, err, text, want)
		}
	}
}
