package meter

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// RankGauge registers a gauge of one rank; fn is called at each scrape.
func (m *Meter) RankGauge(name, help string, rank int, fn func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "dahliawinch_" + name, Help: help, ConstLabels: prometheus.Labels{"rank": strconv.Itoa(rank)},
	}, fn))
}
