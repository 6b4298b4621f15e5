package serve

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// Options switches on what a deployment asks for in its settings. The zero value serves without any of it.
type Options struct {
	// Speeds makes owners estimate how fast each endpoint is, and go by it.
	Speeds bool `json:"speeds,omitempty"`
	// Split lets the tasks of one job run at several owners.
	Split bool `json:"split,omitempty"`
	// Demand makes the first VM refuse a job that no owner can serve, from what all VMs report.
	Demand bool `json:"demand,omitempty"`
	// Fill starts, of the tasks that wait, those that leave the least room unused.
	Fill bool `json:"fill,omitempty"`
	// Shares is, by rank, the part of the cores that earlier ranks leave to it while it has work waiting.
	Shares map[string]float64 `json:"shares,omitempty"`
}

const (
	// maxShare and maxShares bound one share and all together: the rest stays with the earlier ranks, which may be urgent.
	maxShare  = 0.9
	maxShares = 0.9
	// maxShareRank is the last rank that may have a share.
	maxShareRank = 9
)

// checkShares reports the problems of the shares.
func (o *Options) checkShares(require func(ok bool, field string, value any, fix string)) {
	sum := 0.0
	for _, rank := range slices.Sorted(maps.Keys(o.Shares)) {
		share := o.Shares[rank]
		n, err := strconv.Atoi(rank)
		require(err == nil && n >= 1 && n <= maxShareRank && rank == strconv.Itoa(n), "shares", rank, fmt.Sprintf("name a rank from 1 to %d; rank 0 goes first anyway", maxShareRank))
		require(share > 0 && share <= maxShare, "shares."+rank, share, fmt.Sprintf("use a number over 0 and up to %g", maxShare))
		sum += share
	}
	require(sum <= maxShares+1e-9, "shares", sum, fmt.Sprintf("let the shares add up to %g at most", maxShares))
}

// rankShares returns the shares by rank.
func (o *Options) rankShares() map[int]float64 {
	shares := make(map[int]float64, len(o.Shares))
	for rank, share := range o.Shares {
		if n, err := strconv.Atoi(rank); err == nil {
			shares[n] = share
		}
	}
	return shares
}
