package directory

import (
	"math"
	"sync"
	"time"
)

// longestReturn is the most that one who is turned away is told to wait.
const longestReturn = 60 * time.Second

// admission lets in so many asks a second, and gives those that it turns away a time of their own to come back at, one
// behind the other at that rate. It is safe for concurrent use.
type admission struct {
	rate  float64 // a second
	burst float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
	booked time.Time // up to which returns have been given out
}

func newAdmission(rate float64, burst int) *admission {
	return &admission{rate: rate, burst: float64(burst), tokens: float64(burst)}
}

// admit takes an ask of a cost in, or tells when to come back.
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

// retryAfter is the header's form of a pause: whole seconds, 1 at least.
func retryAfter(d time.Duration) int { return max(1, int(math.Ceil(d.Seconds()))) }
