package owner

import (
	"time"

	"dahliawinch/internal/task/lease"
)

// LossCause is why runs count as over though no end of them was listed.
type LossCause string

// The causes.
const (
	LostInRestart LossCause = "restart"  // the endpoint has started again under its ID
	LostByLease   LossCause = "lease"    // the endpoint is silent and its lease has expired
	LostEndpoint  LossCause = "endpoint" // another process answers at its address
)

// reportLostRuns logs and counts the runs among ended that were lost. sent is when the renewal whose answer
// ended them was sent, zero if none did: a run that was confirmed after that may have begun since.
func (sc *Scheduler) reportLostRuns(now, sent time.Time, s *endpoint, ended []lease.Finished, cause LossCause) {
	lost := 0
	for _, f := range ended {
		if f.State != lease.Died {
			continue
		}
		lost++
		var confirmedAfter time.Duration
		if !sent.IsZero() {
			confirmedAfter = f.Run.LastSeen.Sub(sent)
		}
		sc.cfg.Log.Info("run lost", "job", f.Run.Task.Job, "task", f.Run.Name, "run", f.Run.Num, "endpoint", s.ID, "cause", string(cause),
			"born", s.LastBorn(), "heard", sinceHeard(now, s.Endpoint), "sent", now.Sub(f.Run.SentAt).Round(time.Microsecond), "confirmed", begun(f.Run), "since_seen", now.Sub(f.Run.LastSeen).Round(time.Microsecond),
			"seen_after_renewal", confirmedAfter.Round(time.Microsecond), "lease_left", s.LeaseEnd().Sub(now).Round(time.Microsecond), "located", s.Located(f.Run))
	}
	if lost > 0 && sc.cfg.Lost != nil {
		sc.cfg.Lost(cause, lost)
	}
}

// sinceHeard returns the age of the last request that the known process of an endpoint has answered; 0 if there is none.
func sinceHeard(now time.Time, ep *lease.Endpoint) time.Duration {
	if ep.HeardAt().IsZero() {
		return 0
	}
	return now.Sub(ep.HeardAt()).Round(time.Microsecond)
}
