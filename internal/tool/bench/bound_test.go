//go:build !race

package bench

// maxRatio is the limit of an entry VM's CPU time per task over the bare pair's.
const maxRatio = 2.5
