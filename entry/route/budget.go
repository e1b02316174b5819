package route

import (
	"time"

	"limpethitch.example/core/clock"
)

// Constants of the retry budget.
const (
	// budgetShare is the share of first attempts that may be retried.
	budgetShare = 0.1
	// budgetMax bounds what a quiet time saves up for a burst of failures.
	budgetMax = 10
	// budgetFloor is how often one retry is allowed whatever the budget, so
	// that a single failure at low load is retried.
	budgetFloor = 10 * time.Second
)

// budget is a token bucket filled by first attempts, not by time.
type budget struct {
	tokens float64
	floor  clock.Mono
}

func (b *budget) first() { b.tokens = min(budgetMax, b.tokens+budgetShare) }

// take reports whether one more retry may be made now.
func (b *budget) take(now clock.Mono) bool {
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	if b.floor != 0 && now.Sub(b.floor) < budgetFloor {
		return false
	}
	b.floor = now
	return true
}
