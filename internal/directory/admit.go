package directory

import (
	"math"
	"sync"
	"time"
)

// maxRetryAfter bounds the delay that a refused client is told to wait.
const maxRetryAfter = 60 * time.Second

// admission is a token bucket. It also assigns each refused request its own time to retry, spaced by the same
// rate. It is safe for concurrent use.
type admission struct {
	rate  float64 // per second
	burst float64

	mu          sync.Mutex
	tokens      float64
	lastRefill  time.Time
	bookedUntil time.Time // end of the retry times assigned so far
}

func newAdmission(rate float64, burst int) *admission {
	return &admission{rate: rate, burst: float64(burst), tokens: float64(burst)}
}

// admit admits a request of a given cost, or returns after which delay to retry.
func (a *admission) admit(cost float64, now time.Time) (ok bool, retryIn time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = min(a.burst, a.tokens+a.rate*max(now.Sub(a.lastRefill).Seconds(), 0))
	a.lastRefill = now
	if a.tokens >= min(cost, a.burst) {
		a.tokens -= cost
		return true, 0
	}
	if a.bookedUntil.Before(now) {
		a.bookedUntil = now
	}
	a.bookedUntil = a.bookedUntil.Add(time.Duration(cost / a.rate * float64(time.Second)))
	return false, min(a.bookedUntil.Sub(now), maxRetryAfter)
}

// retryAfterSeconds rounds a delay up to the whole seconds of a Retry-After header, at least 1.
func retryAfterSeconds(d time.Duration) int { return max(1, int(math.Ceil(d.Seconds()))) }
