package place

import (
	"slices"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
)

// Shed stops running tasks of a team until excess is freed, in the order of
// selectVictimsByClass: repeatable batch tasks first, services last. It is called after
// the team's limit was lowered.
func (s *State) Shed(team string, excess amount.Vec, now clock.Mono) {
	s.advance(now)
	s.team(team).remainingExcess = excess.ClampToZero()
	s.sheddingTeams = append(s.sheddingTeams, s.team(team))
}

// shedTeams preempts tasks of the teams with excess usage.
func (s *State) shedTeams() {
	for len(s.sheddingTeams) > 0 {
		if !s.shedTeam(s.sheddingTeams[0]) {
			return
		}
		s.sheddingTeams = slices.Delete(s.sheddingTeams, 0, 1)
	}
}

// shedTeam preempts tasks of t to free its excess. It reports false if the call's
// decisions were used up before.
func (s *State) shedTeam(t *team) bool {
	s.victims = s.victims[:0]
	need := t.remainingExcess
	for _, w := range s.workerOrder {
		for _, running := range w.tasks {
			if running.job.team != t {
				continue
			}
			if running.action != "" && running.action != ActionThrottle {
				need = need.Sub(running.size).ClampToZero()
				continue
			}
			s.victims = append(s.victims, running)
		}
	}
	s.selectVictimsByClass(need)
	for _, running := range s.victims {
		if !s.hasBudget() {
			return false
		}
		s.preempt(running, ActionCheckpoint, running.size, s.now.Add(shedGrace))
	}
	return true
}
