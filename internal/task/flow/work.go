package flow

import (
	"sync"
	"time"

	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/learn"
	"dahliawinch/internal/task/queue"
)

// work is one accepted submission that is not answered yet.
type work struct {
	id         uint64
	req        *job.Request
	class      doc.Class
	key        learn.Key
	acceptedAt time.Time
	due        time.Time
	entry      queue.Entry[*work]

	mu         sync.Mutex
	waiting    []int // indices of tasks that have not started
	results    [][]byte
	unanswered int // tasks without a result
	evidence   job.Evidence
	longestRun time.Duration
	answer     *job.Answer
	done       chan struct{}
	expiry     *timer.Timer
}

func newWork(id uint64, req *job.Request, class doc.Class, now time.Time) *work {
	n := len(req.Tasks)
	w := &work{
		id: id, req: req, class: class, acceptedAt: now, due: now.Add(req.TimeLeft),
		key:     learn.Key{Tenant: req.Tenant, Kind: req.Kind},
		waiting: make([]int, n), results: make([][]byte, n), unanswered: n,
		done: make(chan struct{}),
	}
	for i := range n {
		w.waiting[i] = n - 1 - i
	}
	return w
}

// pop takes a waiting task; ok is false if none waits or the job is settled.
func (w *work) pop() (i int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answer != nil || len(w.waiting) == 0 {
		return 0, false
	}
	last := len(w.waiting) - 1
	i = w.waiting[last]
	w.waiting = w.waiting[:last]
	return i, true
}

// push puts back a task that certainly did not start; ok is false once the job is
// settled.
func (w *work) push(i int) (ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answer != nil {
		return false
	}
	w.waiting = append(w.waiting, i)
	return true
}

// markSent counts a task that is about to be sent; it fails once the job is settled.
func (w *work) markSent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answer != nil {
		return false
	}
	w.evidence.Sent++
	return true
}

// unmarkSent reverts markSent for a task that certainly did not start.
func (w *work) unmarkSent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evidence.Sent--
}

// addResult records the result of one task; the last one completes the job.
func (w *work) addResult(i int, body []byte, ran time.Duration) *job.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evidence.Sent--
	w.evidence.Answered++
	if w.answer != nil || w.results[i] != nil {
		return nil // the caller has its answer, or this is a duplicate
	}
	w.longestRun = max(w.longestRun, ran)
	if body == nil {
		body = []byte{}
	}
	w.results[i] = body
	w.unanswered--
	if w.unanswered > 0 {
		return nil
	}
	return w.setAnswer(&job.Answer{Outcome: job.Done, Results: w.results})
}

// fail records a task that failed or did not answer and ends the job.
func (w *work) fail(answered bool, why job.Reason, detail string) *job.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evidence.Sent--
	if answered {
		w.evidence.Answered++
	} else {
		w.evidence.Silent++
	}
	return w.endLocked(why, 0, detail)
}

// abort ends the job without a task's result; it returns nil if the job had ended.
func (w *work) abort(why job.Reason, retry time.Duration, detail string) *job.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endLocked(why, retry, detail)
}

// endLocked sets the answer by the evidence; the caller holds mu.
func (w *work) endLocked(why job.Reason, retry time.Duration, detail string) *job.Answer {
	if w.answer != nil {
		return nil
	}
	return w.setAnswer(&job.Answer{Outcome: w.evidence.Outcome(), Reason: why, Retry: retry, Detail: detail})
}

// setAnswer sets the final answer; the caller holds mu.
func (w *work) setAnswer(a *job.Answer) *job.Answer {
	w.answer = a
	w.waiting = nil
	if a.Outcome != job.Done {
		w.results = nil // partial results are never returned
	}
	return a
}

// settled reports whether the job has its answer.
func (w *work) settled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answer != nil
}
