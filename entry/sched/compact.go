package sched

import "limpethitch.example/entry/graph"

// TakeCompactable returns the compacted form of at most n finished jobs that have no
// runs left. stored reports whether the end of a job is in the store; other jobs are
// skipped. The State itself compacts a job once CompactionStored reports that the store
// holds its compacted form.
func (s *State) TakeCompactable(n int, unixMS int64, stored func(id string) bool) []*graph.Job {
	var out []*graph.Job
	keep := s.compactable[:0]
	for _, j := range s.compactable {
		if len(out) == n || j.hasLiveRuns() || !stored(j.doc.ID) {
			keep = append(keep, j)
			continue
		}
		out = append(out, j.doc.Compacted(string(j.state), unixMS))
	}
	clear(s.compactable[len(keep):])
	s.compactable = keep
	return out
}

// CompactionStored compacts a job whose compacted form was stored. If storing failed,
// TakeCompactable returns the job again.
func (s *State) CompactionStored(doc *graph.Job, ok bool) {
	j := s.jobs[doc.ID]
	switch {
	case j == nil:
	case ok:
		j.doc, j.occurrences = doc, nil
	default:
		s.compactable = append(s.compactable, j)
	}
}

// hasLiveRuns reports whether the job has runs that have not ended.
func (j *job) hasLiveRuns() bool {
	for _, steps := range j.occurrences {
		for _, st := range steps {
			if len(st.liveRuns) > 0 {
				return true
			}
		}
	}
	return false
}

// Compacted reports whether a job is compacted to its state or is unknown.
func (s *State) Compacted(id string) bool {
	j := s.jobs[id]
	return j == nil || j.doc.FinalState != ""
}

// Forget removes a finished job whose retention has ended.
func (s *State) Forget(id string) {
	if j := s.jobs[id]; j != nil && j.final() {
		delete(s.jobs, id)
	}
}
