package catalog

import (
	"fmt"
	"slices"
	"time"
)

// Keeper is the leader's sense of time: it knows who has renewed, and asks for what time brings. It is not replicated;
// a new leader begins by taking every lease as renewed, so that a change of leaders takes none away. Its times are those
// of one clock that only grows, since any point. It is not safe for use by several goroutines at once.
type Keeper struct {
	Share float64       // of a partner's endpoints that may have lapsed at once
	Drain time.Duration // from an endpoint's lapse until it goes
	Stand time.Duration // after which what is held back happens unconfirmed; 0: never

	renewed map[string]time.Duration // endpoints with leases, and when they came last
	changed map[string]int64         // their revision when they were last looked at
	lapsed  map[string]time.Duration // since when
	held    map[string]heldSince     // records
	ending  map[string]time.Duration // endpoints whose lapse was asked for, and when
	waiting int64                    // number of what is held back
	since   time.Duration
}

// endsWithin is how long the end of a lease that was asked for may be on its way. What was renewed meanwhile, and
// acknowledged, would be taken away all the same.
const endsWithin = 5 * time.Second

type heldSince struct {
	token int64
	at    time.Duration
}

// NewKeeper begins at a time, with all leases of the state renewed.
func NewKeeper(share float64, drain, stand time.Duration) *Keeper {
	return &Keeper{
		Share: share, Drain: drain, Stand: stand,
		renewed: map[string]time.Duration{}, changed: map[string]int64{}, lapsed: map[string]time.Duration{}, held: map[string]heldSince{}, ending: map[string]time.Duration{},
	}
}

// Renew notes that an endpoint is still there; of one that has no lease, or has lapsed, it is ErrUnknown: it registers
// again.
func (k *Keeper) Renew(s *State, id string, now time.Duration) error {
	e, ok := s.i.Entries[id]
	if !ok || e.TTL == 0 || e.Lapsed {
		return fmt.Errorf("no lease of %.40q, register again: %w", id, ErrUnknown)
	}
	if at, asked := k.ending[id]; asked && now < at+endsWithin {
		return fmt.Errorf("the lease of %.40q has run out, register again: %w", id, ErrUnknown)
	}
	k.renewed[id] = now
	return nil
}

// Registered notes that an endpoint has just registered: its lease counts from now.
func (k *Keeper) Registered(id string, now time.Duration) {
	k.renewed[id] = now
	delete(k.ending, id)
}

// RenewRecord notes that the holder of a record is still there; of a token that does not hold it, it is an error.
func (k *Keeper) RenewRecord(s *State, name string, token int64, now time.Duration) error {
	r, err := s.owned(Hold{Name: name, Token: token})
	if err != nil {
		return err
	}
	if h, ok := k.held[name]; ok && h.token == token && r.TTL > 0 && now >= h.at+time.Duration(r.TTL)*time.Millisecond {
		return fmt.Errorf("the lease of record %q has run out: %w", name, ErrTaken) // its end may be on its way
	}
	k.held[name] = heldSince{r.Token, now}
	return nil
}

// Due tells what time has brought, as commands to propose, and how long to wait for more. What is not carried out is
// asked for again.
func (k *Keeper) Due(s *State, now time.Duration) ([]Command, time.Duration) {
	l := Lapse{Share: k.Share}
	next := time.Hour
	until := func(at time.Duration) bool {
		if at <= now {
			return true
		}
		next = min(next, at-now)
		return false
	}
	alive := map[int]bool{} // partners of which an endpoint still renews
	for id, e := range s.i.Entries {
		if e.TTL == 0 {
			continue
		}
		if _, ok := k.renewed[id]; !ok || k.changed[id] != e.Revision { // it has just registered
			k.renewed[id], k.changed[id] = now, e.Revision
		}
		if e.Lapsed {
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
		// Where nobody of a partner renews, it is more likely that nobody can.
		if until(at+k.Drain) && alive[e.Cell] {
			l.Gone = append(l.Gone, id)
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
			l.Records = append(l.Records, Hold{Name: name, Token: r.Token})
		}
	}
	var out []Command
	slices.Sort(l.Drain)
	slices.Sort(l.Gone)
	if len(l.Drain)+len(l.Gone) > 0 {
		next = min(next, time.Second)
	}
	ends := s.lapses(l) // the others may not yet
	l.Drain, l.Gone = nil, nil
	for _, e := range ends {
		if e.Phase == Deleted {
			l.Gone = append(l.Gone, e.ID)
		} else {
			l.Drain = append(l.Drain, e.ID)
			k.ending[e.ID] = now
		}
	}
	if len(l.Drain)+len(l.Gone)+len(l.Records) > 0 {
		slices.SortFunc(l.Records, func(a, b Hold) int { return int(a.Token - b.Token) })
		out = append(out, Command{By: "leader", Lapse: &l})
		next = min(next, time.Second)
	}
	switch h := s.i.Held; {
	case h == nil:
		k.waiting = 0
	case h.Number != k.waiting:
		k.waiting, k.since = h.Number, now
		fallthrough
	default:
		if k.Stand > 0 && until(k.since+k.Stand) {
			out = append(out, Command{By: "leader", Confirm: &Confirm{Number: h.Number}})
		}
	}
	return out, next
}
