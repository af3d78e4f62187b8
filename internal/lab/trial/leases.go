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

	"starlingusher/internal/sysretry"
)

const (
	leaseHolderCount = 3
	leaseTTL         = 300 * time.Millisecond
	leaseRecord      = "trial"
)

// LeaseHolding is a time in which a holder could rely on owning the record: from the answer that granted it
// until the TTL after its last successful request was sent, or until it released the record.
type LeaseHolding struct {
	Holder int           `json:"holder"`
	Token  int64         `json:"token"`
	From   time.Duration `json:"from"`
	Until  time.Duration `json:"until"`
}

// CheckLeases reports two holders that could rely on the record at the same time, and fencing tokens that do
// not increase from holder to holder.
func CheckLeases(holdings []LeaseHolding) []string {
	holdings = slices.SortedFunc(slices.Values(holdings),
		func(a, b LeaseHolding) int { return cmp.Compare(a.Token, b.Token) })
	var violations []string
	for i := 1; i < len(holdings); i++ {
		previous, current := holdings[i-1], holdings[i]
		switch {
		case previous.Token == current.Token:
			violations = append(violations,
				fmt.Sprintf("token %d was given to holder %d and to holder %d", previous.Token, previous.Holder, current.Holder))
		case previous.Holder != current.Holder && current.From < previous.Until:
			violations = append(violations,
				fmt.Sprintf("holder %d had token %d from %v, while holder %d could rely on token %d until %v", current.Holder,
					current.Token, current.From, previous.Holder, previous.Token, previous.Until))
		}
	}
	return violations
}

// acquireLeases acquires the record, renews it a few times, and releases or abandons it, again and again
// until the context ends.
func (t *trial) acquireLeases(ctx context.Context, holder int) {
	random := rand.New(rand.NewPCG(t.options.Seed, uint64(2000+holder)))
	client := t.newClient(200 + holder)
	type answer struct {
		Token   int64    `json:"token"`
		Unknown []string `json:"unknown"`
	}
	send := func(method, path string, body any) (answer, bool) {
		raw, err := json.Marshal(body)
		if err != nil {
			return answer{}, false
		}
		client.Addresses = t.shuffledAddresses(random.Uint64())
		if raw, _, err = client.Do(context.Background(), method, path, "", raw); err != nil {
			return answer{}, false
		}
		var decoded answer
		err = json.Unmarshal(raw, &decoded)
		return decoded, err == nil
	}
	for sysretry.Sleep(ctx, time.Duration(random.ExpFloat64()*float64(80*time.Millisecond))) {
		requestedAt := t.elapsed()
		granted, ok := send(http.MethodPut, "/records/"+leaseRecord,
			map[string]any{"holder": fmt.Sprint("h", holder), "ttl_ms": leaseTTL.Milliseconds()})
		if !ok {
			continue
		}
		holding := LeaseHolding{Holder: holder, Token: granted.Token, From: t.elapsed(), Until: requestedAt + leaseTTL}
		for range random.IntN(8) {
			if !sysretry.Sleep(ctx, time.Duration(random.Int64N(int64(leaseTTL)))) {
				break
			}
			renewedAt := t.elapsed()
			renewed, ok := send(http.MethodPost, "/registry/renewals",
				map[string]any{"records": []any{map[string]any{"name": leaseRecord, "token": holding.Token}}})
			if ok && len(renewed.Unknown) > 0 {
				break
			}
			if ok {
				holding.Until = renewedAt + leaseTTL
			}
		}
		if random.IntN(2) == 0 && t.elapsed() < holding.Until {
			holding.Until = t.elapsed()
			send(http.MethodDelete, "/records/"+leaseRecord, map[string]any{"token": holding.Token})
		}
		t.mu.Lock()
		t.holdings = append(t.holdings, holding)
		t.mu.Unlock()
	}
}
