package route

import (
	"time"

	"limpethitch.example/core/clock"
)

// Parameters of the retry budget.
const (
	// retryRatio is the number of retries that each first attempt pays for.
	retryRatio = 0.1
	// maxRetryTokens bounds the retries that accumulate while few requests
	// fail, and so the size of a burst of retries.
	maxRetryTokens = 10
	// minRetryInterval is the interval at which one retry is allowed even when
	// the budget is empty, so that a single failure at low load is retried.
	minRetryInterval = 10 * time.Second
)

// retryBudget is a token bucket that is filled by first attempts instead of by
// time.
type retryBudget struct {
	tokens float64
	// lastFreeRetry is when the last retry was allowed with an empty budget.
	lastFreeRetry clock.Mono
}

// addAttempt credits the budget with one first attempt.
func (b *retryBudget) addAttempt() { b.tokens = min(maxRetryTokens, b.tokens+retryRatio) }

// take reports whether one more retry is allowed now and charges it to the
// budget.
func (b *retryBudget) take(now clock.Mono) bool {
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	if b.lastFreeRetry != 0 && now.Sub(b.lastFreeRetry) < minRetryInterval {
		return false
	}
	b.lastFreeRetry = now
	return true
}
