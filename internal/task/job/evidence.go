package job

// Evidence counts what is known about the tasks of one job.
type Evidence struct {
	Answered int // an endpoint reported that it ran and ended
	Silent   int // sent, and the outcome is not known
	Sent     int // sent, answer pending
}

// Outcome returns the outcome of a job that is abandoned now.
//
// Refused promises that nothing ran, so it is returned only when no task was
// answered, is pending or went silent.
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
