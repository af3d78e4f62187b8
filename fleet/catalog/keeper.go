package catalog

import (
	"fmt"
	"slices"
	"time"
)

// LeaseManager is the part of the leader that depends on time: it tracks renewals and proposes commands for
// leases that have expired and for a held write that is due. It is not replicated. A new leader treats every
// lease as just renewed, so that a change of leaders expires none. Times are durations of one monotonic clock
// since an arbitrary origin. It is not safe for concurrent use.
type LeaseManager struct {
	MaxExpiredShare float64       // of a partner's endpoints that may be expired at once
	DrainTime       time.Duration // from the expiry of an endpoint's lease until its removal
	ConfirmAfter    time.Duration // after which a held write is applied without confirmation; 0: never

	renewed map[string]time.Duration // last renewal by endpoint, of those with a lease
	changed map[string]int64         // entry revision by endpoint, at the last check
	lapsed  map[string]time.Duration // when each endpoint was first seen as expired
	held    map[string]heldSince     // last renewal by record
	ending  map[string]time.Duration // when the expiry of an endpoint's lease was last proposed
	waiting int64                    // number of the held write
	since   time.Duration
}

// expiryInFlight bounds how long a proposed expiry may take to be applied. A renewal acknowledged during that
// time would be lost, so it is refused.
const endsWithin = 5 * time.Second

type heldSince struct {
	token int64
	at    time.Duration
}

// NewLeaseManager treats all leases of the state as just renewed.
func NewLeaseManager(share float64, drain, stand time.Duration) *LeaseManager {
	return &LeaseManager{
		MaxExpiredShare: share, DrainTime: drain, ConfirmAfter: stand,
		renewed: map[string]time.Duration{}, changed: map[string]int64{}, lapsed: map[string]time.Duration{}, held: map[string]heldSince{}, ending: map[string]time.Duration{},
	}
}

// Renew records a renewal. If the endpoint has no lease, or it has expired, Renew returns ErrNotFound and the
// endpoint must register again.
func (k *LeaseManager) Renew(s *State, id string, now time.Duration) error {
	e, ok := s.i.Entries[id]
	if !ok || e.TTL == 0 || e.Expired {
		return fmt.Errorf("endpoint %.40q has no lease, register again: %w", id, ErrNotFound)
	}
	if at, asked := k.ending[id]; asked && now < at+endsWithin {
		return fmt.Errorf("the lease of endpoint %.40q has expired, register again: %w", id, ErrNotFound)
	}
	k.renewed[id] = now
	return nil
}

// NoteRegistration starts the lease of an endpoint that has just registered.
func (k *LeaseManager) NoteRegistration(id string, now time.Duration) {
	k.renewed[id] = now
	delete(k.ending, id)
}

// RenewRecord records that the holder of a record is alive. It fails for a token that does not hold the
// record.
func (k *LeaseManager) RenewRecord(s *State, name string, token int64, now time.Duration) error {
	r, err := s.owned(RecordOp{Name: name, Token: token})
	if err != nil {
		return err
	}
	if h, ok := k.held[name]; ok && h.token == token && r.TTL > 0 && now >= h.at+time.Duration(r.TTL)*time.Millisecond {
		return fmt.Errorf("the lease of record %q has expired: %w", name, ErrNotHolder) // its expiry may already be in the log
	}
	k.held[name] = heldSince{r.Token, now}
	return nil
}

// DueCommands returns the commands to propose now, and how long to wait before the next call. It returns a
// command again until it has been applied.
func (k *LeaseManager) DueCommands(s *State, now time.Duration) ([]Command, time.Duration) {
	l := Expiry{MaxShare: k.MaxExpiredShare}
	next := time.Hour
	until := func(at time.Duration) bool {
		if at <= now {
			return true
		}
		next = min(next, at-now)
		return false
	}
	alive := map[int]bool{} // partners with an endpoint that still renews its lease
	for id, e := range s.i.Entries {
		if e.TTL == 0 {
			continue
		}
		if _, ok := k.renewed[id]; !ok || k.changed[id] != e.Revision { // just registered
			k.renewed[id], k.changed[id] = now, e.Revision
		}
		if e.Expired {
			if _, ok := k.lapsed[id]; !ok {
				k.lapsed[id] = now
			}
			continue
		}
		delete(k.lapsed, id)
		if until(k.renewed[id] + time.Duration(e.TTL)*time.Millisecond) {
			l.Drain = append(l.Drain, id)
		} else {
			alive[e.Cell] = true
		}
	}
	for id := range k.renewed {
		if _, ok := s.i.Entries[id]; !ok {
			delete(k.renewed, id)
			delete(k.changed, id)
			delete(k.ending, id)
		}
	}
	for id, at := range k.lapsed {
		e, ok := s.i.Entries[id]
		if !ok {
			delete(k.lapsed, id)
			continue
		}
		// If no endpoint of a partner renews, a common cause such as a broken network is more likely than
		// that all are gone.
		if until(at+k.DrainTime) && alive[e.Cell] {
			l.Remove = append(l.Remove, id)
		}
	}
	for name, r := range s.i.Records {
		if r.Holder == "" || r.TTL == 0 {
			delete(k.held, name)
			continue
		}
		if h, ok := k.held[name]; !ok || h.token != r.Token {
			k.held[name] = heldSince{r.Token, now}
		}
		if until(k.held[name].at + time.Duration(r.TTL)*time.Millisecond) {
			l.Records = append(l.Records, RecordOp{Name: name, Token: r.Token})
		}
	}
	var out []Command
	slices.Sort(l.Drain)
	slices.Sort(l.Remove)
	if len(l.Drain)+len(l.Remove) > 0 {
		next = min(next, time.Second)
	}
	ends := s.lapses(l) // the others must wait because of the share
	l.Drain, l.Remove = nil, nil
	for _, e := range ends {
		if e.Phase == Deleted {
			l.Remove = append(l.Remove, e.ID)
		} else {
			l.Drain = append(l.Drain, e.ID)
			k.ending[e.ID] = now
		}
	}
	if len(l.Drain)+len(l.Remove)+len(l.Records) > 0 {
		slices.SortFunc(l.Records, func(a, b RecordOp) int { return int(a.Token - b.Token) })
		out = append(out, Command{By: "leader", Expire: &l})
		next = min(next, time.Second)
	}
	switch h := s.i.Held; {
	case h == nil:
		k.waiting = 0
	case h.Number != k.waiting:
		k.waiting, k.since = h.Number, now
		fallthrough
	default:
		if k.ConfirmAfter > 0 && until(k.since+k.ConfirmAfter) {
			out = append(out, Command{By: "leader", Confirm: &Confirm{Number: h.Number}})
		}
	}
	return out, next
}
