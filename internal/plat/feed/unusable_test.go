package feed

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Symptom: an endpoint whose entry is of no use is given work on, or the log fills with one line
// for each time that another writer repeats its entry. Sequence: a good entry, a useless one
// twice, a good one again. Cause: useless entries are passed over, and each is logged.
func TestUselessRecordCountsAsGoneAndIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	var got []Update[int]
	f := &Follower[int]{Name: "f", Log: slog.New(slog.NewTextHandler(&out, nil)), Apply: func(us []Update[int], _ bool) { got = append(got, us...) }}
	bad := Update[int]{Key: "k", Err: errors.New("no state")}
	f.apply([]Update[int]{{Key: "k", Value: 1}, {Key: "o", Value: 2}}, false)
	f.apply([]Update[int]{bad, {Key: "o", Value: 3}}, false)
	f.apply([]Update[int]{bad}, false)
	f.apply([]Update[int]{{Key: "k", Value: 4}}, false)
	is.Equal(len(got), 6)
	is.True(got[2].Gone && got[2].Key == "k" && got[2].Err == nil)
	is.Equal(got[3].Value, 3)
	is.True(!got[5].Gone && got[5].Value == 4)
	is.Equal(strings.Count(out.String(), "record of no use"), 1)
	f.apply([]Update[int]{bad}, false)
	is.Equal(strings.Count(out.String(), "record of no use"), 2) // it was good between
}

// Symptom: an endpoint is lost for good though it reports. Sequence: its entry, a useless one in
// its place, its entry again, as it was before. Cause: the copy still has the first, and takes
// the last for no news.
func TestEntryAfterAUselessOneIsNews(t *testing.T) {
	is := is.New(t)
	r := (&Relay[int]{Same: func(a, b int) bool { return a == b }}).Init()
	is.Equal(len(r.news([]Update[int]{{Key: "k", Value: 1}}, 1)), 1)
	is.Equal(len(r.news([]Update[int]{{Key: "k", Value: 1}}, 2)), 0)
	is.Equal(len(r.news([]Update[int]{{Key: "k", Err: errors.New("useless")}}, 3)), 1)
	is.Equal(len(r.news([]Update[int]{{Key: "k", Value: 1}}, 4)), 1)
}
