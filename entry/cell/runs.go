package cell

// addRunLocked adds a run that was sent to a worker or found on one.
func (c *Cell) addRunLocked(r *run) {
	c.runs[r.id] = r
	if c.runsByWorker[r.worker] == nil {
		c.runsByWorker[r.worker] = map[string]*run{}
	}
	c.runsByWorker[r.worker][r.id] = r
	c.runCountByJob[r.job]++
}

// removeRunLocked removes a run that has ended.
func (c *Cell) removeRunLocked(r *run) {
	delete(c.runs, r.id)
	if onWorker := c.runsByWorker[r.worker]; onWorker != nil {
		delete(onWorker, r.id)
		if len(onWorker) == 0 {
			delete(c.runsByWorker, r.worker)
		}
	}
	if c.runCountByJob[r.job]--; c.runCountByJob[r.job] == 0 {
		delete(c.runCountByJob, r.job)
	}
}

// runCount returns the number of a job's runs on this shard.
func (c *Cell) runCount(h *heldJob) int { return c.runCountByJob[h.rec.ID] }
