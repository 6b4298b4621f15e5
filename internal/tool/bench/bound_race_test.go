//go:build race

package bench

// maxRatio with the race detector, which slows every access to shared memory and so an
// entry VM more than the bare pair, which shares none: 2.9 to 3.2 were measured.
const maxRatio = 4.0
