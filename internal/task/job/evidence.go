package job

// Evidence is what is known about the tasks of one job.
type Evidence struct {
	Answered int // an endpoint said that it ran, well or badly
	Silent   int // sent, and nothing is known
	Sent     int // sent and still awaited
}

// Outcome of a job that is given up on now.
//
// The danger is a "not run" that is a lie: only when no task was answered, is
// awaited or went silent can nothing have started.
func (e Evidence) Outcome() Outcome {
	switch {
	case e.Answered > 0:
		return Failed
	case e.Silent > 0 || e.Sent > 0:
		return Unknown
	default:
		return Refused
	}
}
