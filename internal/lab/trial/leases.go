package trial

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"starlingusher/internal/registry"
)

const (
	leaseHolderCount = 3
	leaseTTL         = 300 * time.Millisecond
	leaseRecord      = "trial"
)

// Held is a time in which a holder could rely on a record being its own: from when it was told so until its lease had
// run since it last asked and was told yes, or until it let go.
type LeaseHolding struct {
	Holder int           `json:"holder"`
	Token  int64         `json:"token"`
	From   time.Duration `json:"from"`
	Until  time.Duration `json:"until"`
}

// Leases tells where two could rely on the same record at once, and where tokens do not grow from holder to holder.
func CheckLeases(all []LeaseHolding) []string {
	all = slices.SortedFunc(slices.Values(all), func(a, b LeaseHolding) int { return cmp.Compare(a.Token, b.Token) })
	var bad []string
	for i := 1; i < len(all); i++ {
		a, b := all[i-1], all[i]
		switch {
		case a.Token == b.Token:
			bad = append(bad, fmt.Sprintf("token %d was given to holder %d and to holder %d", a.Token, a.Holder, b.Holder))
		case a.Holder != b.Holder && b.From < a.Until:
			bad = append(bad, fmt.Sprintf("holder %d had token %d from %v, while holder %d could rely on token %d until %v", b.Holder, b.Token, b.From, a.Holder, a.Token, a.Until))
		}
	}
	return bad
}

// holds acquires the record, renews it some times, and lets go of it or forgets it, until the context ends.
func (t *trial) acquireLeases(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(t.options.Seed, uint64(2000+n)))
	c := t.newClient(200 + n)
	type answer struct {
		Token   int64    `json:"token"`
		Unknown []string `json:"unknown"`
	}
	ask := func(method, path string, body any) (answer, bool) {
		raw, err := json.Marshal(body)
		if err != nil {
			return answer{}, false
		}
		c.Addresses = t.shuffledAddresses(r.Uint64())
		if raw, _, err = c.Do(context.Background(), method, path, "", raw); err != nil {
			return answer{}, false
		}
		var v answer
		err = json.Unmarshal(raw, &v)
		return v, err == nil
	}
	for registry.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(80*time.Millisecond))) {
		at := t.elapsed()
		a, ok := ask(http.MethodPut, "/records/"+leaseRecord, map[string]any{"holder": fmt.Sprint("h", n), "ttl_ms": leaseTTL.Milliseconds()})
		if !ok {
			continue
		}
		held := LeaseHolding{Holder: n, Token: a.Token, From: t.elapsed(), Until: at + leaseTTL}
		for range r.IntN(8) {
			if !registry.Sleep(ctx, time.Duration(r.Int64N(int64(leaseTTL)))) {
				break
			}
			at := t.elapsed()
			a, ok := ask(http.MethodPost, "/registry/renewals", map[string]any{"records": []any{map[string]any{"name": leaseRecord, "token": held.Token}}})
			if ok && len(a.Unknown) > 0 {
				break
			}
			if ok {
				held.Until = at + leaseTTL
			}
		}
		if r.IntN(2) == 0 && t.elapsed() < held.Until {
			held.Until = t.elapsed()
			ask(http.MethodDelete, "/records/"+leaseRecord, map[string]any{"token": held.Token})
		}
		t.mu.Lock()
		t.holdings = append(t.holdings, held)
		t.mu.Unlock()
	}
}
