//go:build race

package bench

// maxRatio is higher with the race detector, which slows every access to shared memory:
// an entry VM shares memory, and the bare pair does not. The usual ratio is 2.9 to 3.2.
const maxRatio = 4.0
