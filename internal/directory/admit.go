package directory

import (
	"math"
	"sync"
	"time"
)

// maxRetryAfter bounds the delay that a refused client is told to wait.
const longestReturn = 60 * time.Second

// admission is a token bucket. It also assigns each refused request its own time to retry, spaced by the same
// rate. It is safe for concurrent use.
type admission struct {
	rate  float64 // per second
	burst float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
	booked time.Time // end of the retry times assigned so far
}

func newAdmission(rate float64, burst int) *admission {
	return &admission{rate: rate, burst: float64(burst), tokens: float64(burst)}
}

// admit admits a request of a given cost, or returns after which delay to retry.
func (a *admission) admit(cost float64, now time.Time) (ok bool, back time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = min(a.burst, a.tokens+a.rate*max(now.Sub(a.last).Seconds(), 0))
	a.last = now
	if a.tokens >= min(cost, a.burst) {
		a.tokens -= cost
		return true, 0
	}
	if a.booked.Before(now) {
		a.booked = now
	}
	a.booked = a.booked.Add(time.Duration(cost / a.rate * float64(time.Second)))
	return false, min(a.booked.Sub(now), longestReturn)
}

// retryAfterSeconds rounds a delay up to the whole seconds of a Retry-After header, at least 1.
func retryAfter(d time.Duration) int { return max(1, int(math.Ceil(d.Seconds()))) }
