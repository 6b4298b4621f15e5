//go:build !race

package bench

// bound of an entry VM's processor time a task over a bare pair's.
const bound = 2.5
