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

	renewed        map[string]time.Duration // last renewal by endpoint, of those with a lease
	revisions      map[string]int64         // entry revision by endpoint, at the last check
	expiredSince   map[string]time.Duration // when each endpoint was first seen as expired
	recordRenewals map[string]recordRenewal // last renewal by record
	expiryProposed map[string]time.Duration // when the expiry of an endpoint's lease was last proposed
	heldNumber     int64                    // number of the held write
	heldSince      time.Duration
}

// expiryInFlight bounds how long a proposed expiry may take to be applied. A renewal acknowledged during that
// time would be lost, so it is refused.
const expiryInFlight = 5 * time.Second

type recordRenewal struct {
	token int64
	at    time.Duration
}

// NewLeaseManager treats all leases of the state as just renewed.
func NewLeaseManager(maxExpiredShare float64, drainTime, confirmAfter time.Duration) *LeaseManager {
	return &LeaseManager{
		MaxExpiredShare: maxExpiredShare, DrainTime: drainTime, ConfirmAfter: confirmAfter,
		renewed: map[string]time.Duration{}, revisions: map[string]int64{}, expiredSince: map[string]time.Duration{}, recordRenewals: map[string]recordRenewal{}, expiryProposed: map[string]time.Duration{},
	}
}

// Renew records a renewal. If the endpoint has no lease, or it has expired, Renew returns ErrNotFound and the
// endpoint must register again.
func (m *LeaseManager) Renew(s *State, id string, now time.Duration) error {
	e, ok := s.image.Entries[id]
	if !ok || e.TTL == 0 || e.Expired {
		return fmt.Errorf("endpoint %.40q has no lease, register again: %w", id, ErrNotFound)
	}
	if at, proposed := m.expiryProposed[id]; proposed && now < at+expiryInFlight {
		return fmt.Errorf("the lease of endpoint %.40q has expired, register again: %w", id, ErrNotFound)
	}
	m.renewed[id] = now
	return nil
}

// NoteRegistration starts the lease of an endpoint that has just registered.
func (m *LeaseManager) NoteRegistration(id string, now time.Duration) {
	m.renewed[id] = now
	delete(m.expiryProposed, id)
}

// RenewRecord records that the holder of a record is alive. It fails for a token that does not hold the
// record.
func (m *LeaseManager) RenewRecord(s *State, name string, token int64, now time.Duration) error {
	r, err := s.heldRecord(RecordOp{Name: name, Token: token})
	if err != nil {
		return err
	}
	if h, ok := m.recordRenewals[name]; ok && h.token == token && r.TTL > 0 && now >= h.at+time.Duration(r.TTL)*time.Millisecond {
		return fmt.Errorf("the lease of record %q has expired: %w", name, ErrNotHolder) // its expiry may already be in the log
	}
	m.recordRenewals[name] = recordRenewal{r.Token, now}
	return nil
}

// DueCommands returns the commands to propose now, and how long to wait before the next call. It returns a
// command again until it has been applied.
func (m *LeaseManager) DueCommands(s *State, now time.Duration) ([]Command, time.Duration) {
	expiry := Expiry{MaxShare: m.MaxExpiredShare}
	wait := time.Hour
	isDue := func(at time.Duration) bool {
		if at <= now {
			return true
		}
		wait = min(wait, at-now)
		return false
	}
	renewing := map[int]bool{} // partners with an endpoint that still renews its lease
	for id, e := range s.image.Entries {
		if e.TTL == 0 {
			continue
		}
		if _, ok := m.renewed[id]; !ok || m.revisions[id] != e.Revision { // just registered
			m.renewed[id], m.revisions[id] = now, e.Revision
		}
		if e.Expired {
			if _, ok := m.expiredSince[id]; !ok {
				m.expiredSince[id] = now
			}
			continue
		}
		delete(m.expiredSince, id)
		if isDue(m.renewed[id] + time.Duration(e.TTL)*time.Millisecond) {
			expiry.Drain = append(expiry.Drain, id)
		} else {
			renewing[e.Cell] = true
		}
	}
	for id := range m.renewed {
		if _, ok := s.image.Entries[id]; !ok {
			delete(m.renewed, id)
			delete(m.revisions, id)
			delete(m.expiryProposed, id)
		}
	}
	for id, at := range m.expiredSince {
		e, ok := s.image.Entries[id]
		if !ok {
			delete(m.expiredSince, id)
			continue
		}
		// If no endpoint of a partner renews, a common cause such as a broken network is more likely than
		// that all are gone.
		if isDue(at+m.DrainTime) && renewing[e.Cell] {
			expiry.Remove = append(expiry.Remove, id)
		}
	}
	for name, r := range s.image.Records {
		if r.Holder == "" || r.TTL == 0 {
			delete(m.recordRenewals, name)
			continue
		}
		if h, ok := m.recordRenewals[name]; !ok || h.token != r.Token {
			m.recordRenewals[name] = recordRenewal{r.Token, now}
		}
		if isDue(m.recordRenewals[name].at + time.Duration(r.TTL)*time.Millisecond) {
			expiry.Records = append(expiry.Records, RecordOp{Name: name, Token: r.Token})
		}
	}
	var commands []Command
	slices.Sort(expiry.Drain)
	slices.Sort(expiry.Remove)
	if len(expiry.Drain)+len(expiry.Remove) > 0 {
		wait = min(wait, time.Second)
	}
	expired := s.expiredEndpoints(expiry) // the others must wait because of the share
	expiry.Drain, expiry.Remove = nil, nil
	for _, e := range expired {
		if e.Phase == Deleted {
			expiry.Remove = append(expiry.Remove, e.ID)
		} else {
			expiry.Drain = append(expiry.Drain, e.ID)
			m.expiryProposed[e.ID] = now
		}
	}
	if len(expiry.Drain)+len(expiry.Remove)+len(expiry.Records) > 0 {
		slices.SortFunc(expiry.Records, func(a, b RecordOp) int { return int(a.Token - b.Token) })
		commands = append(commands, Command{By: "leader", Expire: &expiry})
		wait = min(wait, time.Second)
	}
	switch held := s.image.Held; {
	case held == nil:
		m.heldNumber = 0
	case held.Number != m.heldNumber:
		m.heldNumber, m.heldSince = held.Number, now
		fallthrough
	default:
		if m.ConfirmAfter > 0 && isDue(m.heldSince+m.ConfirmAfter) {
			commands = append(commands, Command{By: "leader", Confirm: &Confirm{Number: held.Number}})
		}
	}
	return commands, wait
}
