package cell

// addRunLocked notes a task that was sent to a worker or found there.
func (c *Cell) addRunLocked(r *run) {
	c.runs[r.id] = r
	if c.onWorker[r.worker] == nil {
		c.onWorker[r.worker] = map[string]*run{}
	}
	c.onWorker[r.worker][r.id] = r
	c.ofJob[r.job]++
}

// dropRunLocked forgets a task that no longer runs.
func (c *Cell) dropRunLocked(r *run) {
	delete(c.runs, r.id)
	if on := c.onWorker[r.worker]; on != nil {
		delete(on, r.id)
		if len(on) == 0 {
			delete(c.onWorker, r.worker)
		}
	}
	if c.ofJob[r.job]--; c.ofJob[r.job] == 0 {
		delete(c.ofJob, r.job)
	}
}

// runsOf returns the number of a job's tasks that are sent or run here.
func (c *Cell) runsOf(h *held) int { return c.ofJob[h.rec.ID] }
