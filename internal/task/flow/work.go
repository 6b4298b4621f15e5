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

// work is one accepted submission until it is answered.
type work struct {
	id    uint64
	req   *job.Request
	class doc.Class
	key   learn.Key
	began time.Time
	due   time.Time
	entry queue.Entry[*work]

	mu      sync.Mutex
	waiting []int // indices of tasks that have not started
	results [][]byte
	left    int // tasks without an answer
	ev      job.Evidence
	longest time.Duration
	answer  *job.Answer
	done    chan struct{}
	expiry  *timer.Timer
}

func newWork(id uint64, req *job.Request, class doc.Class, now time.Time) *work {
	n := len(req.Tasks)
	w := &work{
		id: id, req: req, class: class, began: now, due: now.Add(req.Left),
		key:     learn.Key{Tenant: req.Tenant, Kind: req.Kind},
		waiting: make([]int, n), results: make([][]byte, n), left: n,
		done: make(chan struct{}),
	}
	for i := range n {
		w.waiting[i] = n - 1 - i
	}
	return w
}

// pop takes a waiting task; ok is false once the job is settled.
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

// push puts a task back that proved not to have started; ok is false once the
// job is settled.
func (w *work) push(i int) (ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answer != nil {
		return false
	}
	w.waiting = append(w.waiting, i)
	return true
}

// send notes that a task is about to leave, and refuses when the job is settled.
func (w *work) send() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answer != nil {
		return false
	}
	w.ev.Sent++
	return true
}

// unsend takes a send back: the task is proven not to have started.
func (w *work) unsend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ev.Sent--
}

// gather takes in the result of one task; when it is the last, the job is done.
func (w *work) gather(i int, body []byte, ran time.Duration) *job.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ev.Sent--
	w.ev.Answered++
	if w.answer != nil || w.results[i] != nil {
		return nil // late: the caller has its answer
	}
	w.longest = max(w.longest, ran)
	if body == nil {
		body = []byte{}
	}
	w.results[i] = body
	w.left--
	if w.left > 0 {
		return nil
	}
	return w.settle(&job.Answer{Outcome: job.Done, Results: w.results})
}

// fail notes a task that ran badly or went silent and ends the job.
func (w *work) fail(answered bool, why job.Reason, detail string) *job.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ev.Sent--
	if answered {
		w.ev.Answered++
	} else {
		w.ev.Silent++
	}
	return w.end(why, 0, detail)
}

// quit ends the job for a reason of its own; nil if it had ended.
func (w *work) quit(why job.Reason, retry time.Duration, detail string) *job.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.end(why, retry, detail)
}

// end answers by the evidence; the caller holds the lock.
func (w *work) end(why job.Reason, retry time.Duration, detail string) *job.Answer {
	if w.answer != nil {
		return nil
	}
	return w.settle(&job.Answer{Outcome: w.ev.Outcome(), Reason: why, Retry: retry, Detail: detail})
}

// settle fixes the answer; the caller holds the lock.
func (w *work) settle(a *job.Answer) *job.Answer {
	w.answer = a
	w.waiting = nil
	if a.Outcome != job.Done {
		w.results = nil // nothing partial is ever handed out
	}
	return a
}

// settled reports whether the job has its answer.
func (w *work) settled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answer != nil
}
