package serve

// registerRoom registers the metrics of how the room of owned endpoints is used, of the options that are on.
func (d *Node) registerRoom() {
	if d.cfg.Options.Fill {
		d.deps.Meter.Gauge("unused_cores", "Cores of owned endpoints that are free while jobs wait for room.", func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.scheduler.Unused()
		})
	}
}
