package catalog

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Bounds of the kept history. All replicas must use the same ones: whether a write with an old base revision
// is accepted depends on which changes are still kept.
const (
	MaxChanges          = 10_000
	MaxChangedEndpoints = 100_000 // endpoints over all kept changes
)

// Reasons why a command was not applied.
var (
	ErrConflict        = errors.New("the list has changed since the base revision")
	ErrHeld            = errors.New("held back until it is confirmed or the waiting time is over")
	ErrNotFound        = errors.New("not found")
	ErrNotHolder       = errors.New("the caller is not the holder")
	ErrInvalid         = errors.New("invalid")
	ErrFull            = errors.New("too many entries")
	ErrNotBootstrapped = errors.New("the service has not been bootstrapped")
)

// Base is the revision that a write is based on: optimistic concurrency control.
type Base struct {
	Any      bool  `cbor:",omitempty"` // matches every state, as If-Match: *
	History  int64 `cbor:",omitempty"` // 0: the current history
	Revision int64
}

// Write changes the list of endpoints atomically.
type Write struct {
	Base       Base
	Replace    bool       `cbor:"Whole,omitempty"` // Members are the complete list; all other endpoints are removed
	Members    []Endpoint // those of phase Deleted are removed
	TTL        int64      `cbor:",omitempty"`      // ms; above 0: the members are registered with a lease
	GuardShare float64    `cbor:"Guard,omitempty"` // share of the serving endpoints that may be removed at once without confirmation
	Confirmed  bool       `cbor:",omitempty"`      // skips the guard
	Reason     string     `cbor:"Why,omitempty"`
	// MaxEndpoints bounds the size of the list after the write; the constant MaxEndpoints is its upper limit.
	// Like GuardShare it is part of the write, so that all replicas decide alike whatever their own settings
	// are. 0 means DefaultMaxEndpoints, as in builds without this field.
	MaxEndpoints int64 `cbor:"Most,omitempty"`
}

// RecordOp acquires, updates or releases a record, or names a record lease.
type RecordOp struct {
	Name     string
	Holder   string `cbor:",omitempty"`
	Token    int64  `cbor:",omitempty"` // fencing token, for Update and Release
	TTL      int64  `cbor:",omitempty"` // ms; 0: no lease, held until it is released
	Value    []byte `cbor:",omitempty"`
	SetValue bool   `cbor:"SetsVal,omitempty"`
}

// Expiry lists leases that were not renewed in time.
type Expiry struct {
	Drain    []string   `cbor:",omitempty"`     // endpoints to drain
	Remove   []string   `cbor:"Gone,omitempty"` // drained endpoints to remove
	MaxShare float64    `cbor:"Share"`          // of a partner's endpoints that may be expired at once
	Records  []RecordOp `cbor:",omitempty"`     // records to free, by name and token
}

// Replica holds the addresses of one replica of the service.
type Replica struct {
	ID   string `json:"id"`
	HTTP string `json:"http"`
	Raft string `json:"raft"`
}

// Command is a log entry that changes the state. Exactly one of its pointers is set.
type Command struct {
	At int64  // Unix ms by the proposer's clock; shown to operators, and the source of history numbers
	By string `cbor:",omitempty"`

	Bootstrap     *Bootstrap    `cbor:"Found,omitempty"`
	Write         *Write        `cbor:",omitempty"`
	Confirm       *Confirm      `cbor:",omitempty"`
	Expire        *Expiry       `cbor:"Lapse,omitempty"`
	Acquire       *RecordOp     `cbor:",omitempty"`
	Update        *RecordOp     `cbor:",omitempty"`
	Release       *RecordOp     `cbor:",omitempty"`
	Restore       *Image        `cbor:",omitempty"`
	AddReplica    *Replica      `cbor:"Invite,omitempty"`
	RemoveReplica *Replica      `cbor:"Dismiss,omitempty"`
	SourceStatus  *SourceStatus `cbor:"Vouch,omitempty"`
}

// SourceStatus reports whether the discovery service that the list is copied from has gone silent.
type SourceStatus struct{ Silent bool }

// Bootstrap starts the first history.
type Bootstrap struct{ Replicas []Replica }

// Confirm applies the held write, or drops it.
type Confirm struct {
	Number int64
	Drop   bool `cbor:",omitempty"`
}

// Result is the outcome of a command.
type Result struct {
	Revision int64 // of the list, after the command
	Token    int64 // fencing token of a record
	Held     int64 // number of the held write
	Err      error // wraps one of the package's errors
}

// Entry is a listed endpoint with its lease.
type Entry struct {
	Endpoint
	Revision    int64 // of its last change
	TTL         int64 `cbor:",omitempty" json:",omitempty"`             // ms; 0: no lease
	Expired     bool  `cbor:"Lapsed,omitempty" json:"Lapsed,omitempty"` // draining because its lease was not renewed
	ManualDrain bool  `cbor:"ByHand,omitempty" json:"ByHand,omitempty"` // draining on an operator's request; a new registration does not undo that
}

// Change holds what one revision changed.
type Change struct {
	Revision int64      `json:"revision"`
	At       int64      `json:"at_ms"`
	By       string     `json:"by" cbor:",omitempty"`
	Reason   string     `json:"why" cbor:"Why,omitempty"`
	Members  []Endpoint `json:"members"`
	// Moved are the members that belonged to another partner before; readers of that partner's list are sent
	// their deletion. Nil, as opposed to empty, means unknown: the change comes from a snapshot of an older
	// build.
	Moved []Move `json:"-" cbor:"Moved"`
}

// HeldWrite is a write that the guard holds back until it is confirmed.
type HeldWrite struct {
	Number       int64  `json:"number"`
	At           int64  `json:"at_ms"`
	By           string `json:"by"`
	Removed      int    `json:"gone"` // serving endpoints that it would remove
	ServingTotal int    `json:"of"`
	Write        Write  `json:"-" cbor:"Write"` // needs a tag of its own: CBOR falls back to the JSON tag, which would omit it
}

// Record is a small value that only its current holder may change.
type Record struct {
	Name   string `json:"name"`
	Holder string `json:"holder"` // empty: not held
	Token  int64  `json:"token"`  // fencing token; increases with each holder, across all records and histories
	TTL    int64  `json:"ttl_ms"` // 0: no lease
	Value  []byte `json:"value"`
}

// Image is the complete state, as stored in snapshots and backups.
type Image struct {
	History           int64 // increases with each restore; 0: not bootstrapped
	Revision          int64
	Entries           map[string]Entry
	Changes           []Change
	CompactedRevision int64 `cbor:"Past"` // older changes have been discarded
	Held              *HeldWrite
	LastHeldNumber    int64 `cbor:"Numbers"` // number of the most recent held write
	Records           map[string]Record
	LastToken         int64 `cbor:"Token"` // most recent fencing token
	Replicas          map[string]Replica
	SourceSilentSince int64 `cbor:"Silent"` // Unix ms since when the source of the list has been silent; 0: it is alive, or there is none
}

// State is the replicated state machine. It is not safe for concurrent use.
type State struct {
	i        Image
	mentions int // endpoints over all kept changes
	parts    partIndex
}

// New returns the state before the first command.
func New() *State {
	return &State{i: Image{Entries: map[string]Entry{}, Records: map[string]Record{}, Replicas: map[string]Replica{}}, parts: partIndex{}}
}

// Load builds a state from an image and takes ownership of it. It rejects an image that no State can have
// produced.
func Load(i Image) (*State, error) {
	if i.Revision < 0 || i.CompactedRevision < 0 || i.CompactedRevision > i.Revision || int64(len(i.Changes)) != i.Revision-i.CompactedRevision || len(i.Entries) > MaxEndpoints ||
		len(i.Changes) > MaxChanges || len(i.Records) > MaxRecords || i.History < 0 || i.LastToken < 0 {
		return nil, fmt.Errorf("%w: the counts and revisions of the image are inconsistent", ErrInvalid)
	}
	s := &State{i: i}
	if s.i.Entries == nil {
		s.i.Entries = map[string]Entry{}
	}
	if s.i.Records == nil {
		s.i.Records = map[string]Record{}
	}
	if s.i.Replicas == nil {
		s.i.Replicas = map[string]Replica{}
	}
	for n, c := range i.Changes {
		if c.Revision != i.CompactedRevision+int64(n)+1 {
			return nil, fmt.Errorf("%w: found change %d in place of change %d", ErrInvalid, c.Revision, i.CompactedRevision+int64(n)+1)
		}
		s.mentions += len(c.Members)
	}
	for id, e := range i.Entries {
		if err := e.Validate(); err != nil || e.ID != id || e.Phase == Deleted || e.Revision > i.Revision {
			return nil, fmt.Errorf("%w: endpoint %.40q", ErrInvalid, id)
		}
	}
	for name, r := range i.Records {
		if r.Name != name || r.Token > i.LastToken || len(r.Value) > MaxValueBytes {
			return nil, fmt.Errorf("%w: record %.40q", ErrInvalid, name)
		}
	}
	s.parts = newPartIndex(s.i.Entries)
	return s, nil
}

// Image copies the state. The members of changes and the values of records are shared; they are never
// modified.
func (s *State) Image() Image {
	i := s.i
	i.Entries, i.Records, i.Replicas = maps.Clone(i.Entries), maps.Clone(i.Records), maps.Clone(i.Replicas)
	i.Changes = slices.Clone(i.Changes)
	if i.Held != nil {
		h := *i.Held
		i.Held = &h
	}
	return i
}

// History returns the number of the current history. Within one history revisions only increase.
func (s *State) History() int64 { return s.i.History }

// Revision returns the revision of the list, 0 before the first write.
func (s *State) Revision() int64 { return s.i.Revision }

// Held returns the write that waits for confirmation, or nil.
func (s *State) Held() *HeldWrite { return s.i.Held }

// Replicas returns the replicas that may join the service.
func (s *State) Replicas() map[string]Replica { return s.i.Replicas }

// SourceSilentSince returns since when the source of the list has been silent, in Unix ms, or 0.
func (s *State) SourceSilentSince() int64 { return s.i.SourceSilentSince }

func (s *State) Record(name string) (Record, bool) {
	r, ok := s.i.Records[name]
	return r, ok
}

// Records returns all records, sorted by name.
func (s *State) Records() []Record {
	return slices.SortedFunc(maps.Values(s.i.Records), func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
}

// Entry returns the endpoint with an ID.
func (s *State) Entry(id string) (Entry, bool) {
	e, ok := s.i.Entries[id]
	return e, ok
}

// Size returns the number of listed endpoints.
func (s *State) Size() int { return len(s.i.Entries) }

// Entries returns the listed endpoints, sorted by ID.
func (s *State) Entries() []Entry {
	return slices.SortedFunc(maps.Values(s.i.Entries), func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// FullList returns the complete list.
func (s *State) FullList() List {
	l := List{Revision: s.i.Revision, Complete: true, Members: make([]Endpoint, 0, len(s.i.Entries))}
	for _, e := range s.Entries() {
		l.Members = append(l.Members, e.Endpoint)
	}
	return l
}

// ChangesAfter returns the kept changes after a revision, and whether none of them has been discarded. The
// caller must not modify them.
func (s *State) ChangesAfter(after int64) ([]Change, bool) {
	if after < s.i.CompactedRevision {
		return s.i.Changes, false
	}
	return s.i.Changes[min(after-s.i.CompactedRevision, int64(len(s.i.Changes))):], true
}

// ListSince returns what changed after a revision, each endpoint once, or the complete list if those changes
// are unknown or no longer kept.
func (s *State) ListSince(after int64) List {
	changes, all := s.ChangesAfter(after)
	if !all || after > s.i.Revision {
		return s.FullList()
	}
	at := map[string]int{}
	l := List{Revision: s.i.Revision, Members: []Endpoint{}}
	for _, c := range changes {
		for _, m := range c.Members {
			if n, ok := at[m.ID]; ok {
				l.Members[n] = m
				continue
			}
			at[m.ID] = len(l.Members)
			l.Members = append(l.Members, m)
		}
		if len(l.Members) > len(s.i.Entries)+100 { // the complete list is shorter
			return s.FullList()
		}
	}
	return l
}

// Apply applies a command. Nothing else changes the state.
func (s *State) Apply(c Command) Result {
	var r Result
	switch {
	case s.i.History == 0 && c.Bootstrap == nil && c.Restore == nil:
		r.Err = ErrNotBootstrapped
	case c.Bootstrap != nil:
		r.Err = s.found(*c.Bootstrap, c.At)
	case c.Write != nil:
		r.Held, r.Err = s.write(*c.Write, c)
	case c.Confirm != nil:
		r.Err = s.confirm(*c.Confirm, c)
	case c.Expire != nil:
		s.lapse(*c.Expire, c)
	case c.Acquire != nil:
		r.Token, r.Err = s.acquire(*c.Acquire)
	case c.Update != nil:
		r.Token, r.Err = s.update(*c.Update)
	case c.Release != nil:
		r.Err = s.release(*c.Release)
	case c.Restore != nil:
		r.Err = s.restore(*c.Restore, c.At)
	case c.AddReplica != nil:
		s.i.Replicas[c.AddReplica.ID] = *c.AddReplica
	case c.RemoveReplica != nil:
		if _, ok := s.i.Replicas[c.RemoveReplica.ID]; !ok {
			r.Err = fmt.Errorf("replica %q: %w", c.RemoveReplica.ID, ErrNotFound)
		}
		delete(s.i.Replicas, c.RemoveReplica.ID)
	case c.SourceStatus != nil:
		if s.i.SourceSilentSince = 0; c.SourceStatus.Silent {
			s.i.SourceSilentSince = max(c.At, 1)
		}
	default:
		r.Err = fmt.Errorf("%w: empty command", ErrInvalid)
	}
	r.Revision = s.i.Revision
	return r
}

func (s *State) found(f Bootstrap, at int64) error {
	if s.i.History != 0 {
		return fmt.Errorf("%w: the service is already bootstrapped", ErrConflict)
	}
	s.i.History = max(at, 1)
	s.i.LastToken = s.i.History // fencing tokens never repeat, even after a restore or a loss of data
	for _, r := range f.Replicas {
		s.i.Replicas[r.ID] = r
	}
	return nil
}

// restore adopts the list and records of a backup. It keeps the replicas, and never reuses a history number
// or a fencing token.
func (s *State) restore(i Image, at int64) error {
	was := s.i
	next, err := Load(i)
	if err != nil {
		return err
	}
	*s = *next
	s.i.History = max(at, was.History+1, i.History+1)
	s.i.LastToken = max(s.i.History, was.LastToken, i.LastToken)
	s.i.Replicas, s.i.Held = was.Replicas, nil
	if s.i.Replicas == nil {
		s.i.Replicas = map[string]Replica{}
	}
	return nil
}

// checkBase checks the base revision of a write. A write of the complete list requires that nothing has
// changed since; any other, that none of its own endpoints has.
func (s *State) checkBase(w Write) error {
	if w.Base.Any {
		return nil
	}
	if w.Base.History != 0 && w.Base.History != s.i.History {
		return fmt.Errorf("%w: the list was restored from a backup", ErrConflict)
	}
	if w.Base.Revision > s.i.Revision {
		return fmt.Errorf("%w: base revision %d is ahead of the list's revision %d", ErrConflict, w.Base.Revision, s.i.Revision)
	}
	changes, all := s.ChangesAfter(w.Base.Revision)
	if w.Replace && len(changes) > 0 {
		return fmt.Errorf("%w: the current revision is %d", ErrConflict, s.i.Revision)
	}
	if !all {
		return fmt.Errorf("%w: base revision %d is older than the kept changes; read the list again", ErrConflict, w.Base.Revision)
	}
	named := make(map[string]bool, len(w.Members))
	for _, m := range w.Members {
		named[m.ID] = true
	}
	for _, c := range changes {
		for _, m := range c.Members {
			if named[m.ID] {
				return fmt.Errorf("%w: endpoint %q was changed at revision %d", ErrConflict, m.ID, c.Revision)
			}
		}
	}
	return nil
}

func (s *State) write(w Write, c Command) (int64, error) {
	named := make(map[string]bool, len(w.Members))
	for _, m := range w.Members {
		if err := m.Validate(); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		if named[m.ID] {
			return 0, fmt.Errorf("%w: endpoint %q is named twice", ErrInvalid, m.ID)
		}
		named[m.ID] = true
	}
	if w.TTL != 0 && (w.TTL < MinTTLMS || w.TTL > MaxTTLMS) {
		return 0, fmt.Errorf("%w: the TTL of a lease must be %d to %d ms", ErrInvalid, int64(MinTTLMS), int64(MaxTTLMS))
	}
	if len(w.Reason) > maxText {
		return 0, fmt.Errorf("%w: the reason exceeds %d bytes", ErrInvalid, maxText)
	}
	if err := s.checkBase(w); err != nil {
		return 0, err
	}
	changed := s.changed(w)
	if !w.Confirmed && w.GuardShare > 0 {
		if gone, of := s.loss(changed); of > 0 && (gone == of || float64(gone) > w.GuardShare*float64(of)) {
			if h := s.i.Held; h != nil && sameMembers(h.Write, w) { // the same write, held since the first attempt
				return h.Number, fmt.Errorf("%d of %d serving endpoints would go: %w", gone, of, ErrHeld)
			}
			s.i.LastHeldNumber++
			s.i.Held = &HeldWrite{Number: s.i.LastHeldNumber, At: c.At, By: c.By, Removed: gone, ServingTotal: of, Write: w}
			return s.i.LastHeldNumber, fmt.Errorf("%d of %d serving endpoints would go: %w", gone, of, ErrHeld)
		}
	}
	if w.Replace { // a newer complete list supersedes the held write
		s.i.Held = nil
	}
	return 0, s.commit(changed, w, c)
}

// CheckCapacity returns ErrFull if the list has no room for a write, by the same rule as Apply.
func (s *State) CheckCapacity(w Write) error {
	fresh := 0
	for _, m := range w.Members {
		if _, listed := s.i.Entries[m.ID]; !listed && m.Phase != Deleted {
			fresh++
		}
	}
	return s.room(fresh, w.MaxEndpoints)
}

// checkCount checks whether the list has room for more endpoints. It counts those of a complete list on top
// of the ones that the list replaces: builds must not differ in what they accept, and older ones count so.
func (s *State) room(fresh int, most int64) error {
	if most <= 0 {
		most = DefaultMaxEndpoints
	}
	if most = min(most, MaxEndpoints); fresh > 0 && int64(len(s.i.Entries)+fresh) > most {
		return fmt.Errorf("%w: the list is limited to %d endpoints", ErrFull, most)
	}
	return nil
}

func sameMembers(a, b Write) bool {
	byID := func(x, y Endpoint) int { return cmp.Compare(x.ID, y.ID) }
	return a.Replace == b.Replace && a.TTL == b.TTL && len(a.Members) == len(b.Members) &&
		slices.Equal(slices.SortedFunc(slices.Values(a.Members), byID), slices.SortedFunc(slices.Values(b.Members), byID))
}

// rebase updates a held write for later changes, so that confirming it does not undo them: a complete list
// adopts them, a partial write drops its own changes to the same endpoints.
func (h *HeldWrite) outlast(changed []Endpoint) {
	at := make(map[string]Endpoint, len(changed))
	for _, m := range changed {
		at[m.ID] = m
	}
	members := slices.DeleteFunc(slices.Clone(h.Write.Members), func(m Endpoint) bool {
		_, is := at[m.ID]
		return is
	})
	if h.Write.Replace {
		for _, m := range changed {
			if m.Phase != Deleted {
				members = append(members, m)
			}
		}
	}
	h.Write.Members = members
}

// effectiveChanges returns the endpoints that a write changes, sorted by ID.
func (s *State) changed(w Write) []Endpoint {
	var out []Endpoint
	named := make(map[string]bool, len(w.Members))
	for _, m := range w.Members {
		named[m.ID] = true
		old, listed := s.i.Entries[m.ID]
		if m.Phase == Deleted {
			if listed {
				gone := old.Endpoint
				gone.Phase = Deleted
				out = append(out, gone)
			}
			continue
		}
		if w.TTL > 0 && old.ManualDrain {
			m.Phase = Draining
		}
		if !listed || old.Endpoint != m || w.TTL != 0 && old.TTL != w.TTL || old.Expired || w.TTL == 0 && old.ManualDrain != (m.Phase == Draining) {
			out = append(out, m)
		}
	}
	if w.Replace {
		for id, e := range s.i.Entries {
			if !named[id] {
				gone := e.Endpoint
				gone.Phase = Deleted
				out = append(out, gone)
			}
		}
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// servingLoss counts the serving endpoints that a change removes, out of all that serve.
func (s *State) loss(changed []Endpoint) (gone, of int) {
	for _, e := range s.i.Entries {
		if e.Phase == Serving {
			of++
		}
	}
	for _, m := range changed {
		if s.i.Entries[m.ID].Phase == Serving && m.Phase != Serving {
			gone++
		}
	}
	return gone, of
}

// commit records a change as a new revision, unless it is empty.
func (s *State) commit(changed []Endpoint, w Write, c Command) error {
	if len(changed) == 0 {
		return nil
	}
	fresh := 0
	for _, m := range changed {
		if _, listed := s.i.Entries[m.ID]; !listed {
			fresh++
		}
	}
	if err := s.room(fresh, w.MaxEndpoints); err != nil {
		return err
	}
	s.turn(changed, c, w.Reason, func(e *Entry) {
		e.Expired = false
		if w.TTL == 0 { // a write without a lease does not end an existing one
			e.ManualDrain = e.Phase == Draining
		} else {
			e.TTL = w.TTL
		}
	})
	return nil
}

// advance creates the next revision. It lets update set the other fields of each entry that stays, and
// discards the oldest changes beyond the bounds.
func (s *State) turn(changed []Endpoint, c Command, why string, also func(*Entry)) {
	s.i.Revision++
	moved := []Move{}
	for _, m := range changed {
		e, listed := s.i.Entries[m.ID]
		if listed && (m.Phase == Deleted || m.Cell != e.Cell) {
			s.parts.remove(m.ID, e.Cell)
		}
		if m.Phase == Deleted {
			delete(s.i.Entries, m.ID)
			continue
		}
		if listed && m.Cell != e.Cell {
			was := e.Endpoint
			was.Phase = Deleted
			moved = append(moved, Move{was, m.Cell})
		}
		if !listed || m.Cell != e.Cell {
			s.parts.add(m.ID, m.Cell)
		}
		e.Endpoint, e.Revision = m, s.i.Revision
		also(&e)
		s.i.Entries[m.ID] = e
	}
	s.i.Changes = append(s.i.Changes, Change{Revision: s.i.Revision, At: c.At, By: c.By, Reason: why, Members: changed, Moved: moved})
	s.mentions += len(changed)
	if s.i.Held != nil {
		s.i.Held.outlast(changed)
	}
	drop := 0
	for len(s.i.Changes)-drop > MaxChanges || (s.mentions > MaxChangedEndpoints && len(s.i.Changes)-drop > 1) {
		s.mentions -= len(s.i.Changes[drop].Members)
		drop++
	}
	if drop > 0 {
		s.i.CompactedRevision += int64(drop)
		clear(s.i.Changes[:drop])
		s.i.Changes = s.i.Changes[drop:] // append reallocates from time to time, which frees the discarded part
	}
}

func (s *State) confirm(a Confirm, c Command) error {
	h := s.i.Held
	if h == nil || h.Number != a.Number {
		return fmt.Errorf("held write %d: %w", a.Number, ErrNotFound)
	}
	s.i.Held = nil
	if a.Drop {
		return nil
	}
	return s.commit(s.changed(h.Write), h.Write, c)
}

// expiredEndpoints returns what becomes of endpoints with expired leases: they drain, and drained ones are
// removed. At most the given share of a partner's endpoints is expired at once, and never its last serving
// endpoint.
func (s *State) lapses(l Expiry) []Endpoint {
	all, lapsed, serving := map[int]int{}, map[int]int{}, map[int]int{}
	for _, e := range s.i.Entries {
		all[e.Cell]++
		if e.Expired {
			lapsed[e.Cell]++
		}
		if e.Phase == Serving {
			serving[e.Cell]++
		}
	}
	var changed []Endpoint
	for _, id := range l.Drain {
		e, ok := s.i.Entries[id]
		if !ok || e.TTL == 0 || e.Expired || lapsed[e.Cell]+1 > int(math.Floor(l.MaxShare*float64(all[e.Cell]))) ||
			(e.Phase == Serving && serving[e.Cell] <= 1) {
			continue
		}
		if e.Phase == Serving {
			serving[e.Cell]--
		}
		lapsed[e.Cell]++
		e.Phase = Draining
		changed = append(changed, e.Endpoint)
	}
	for _, id := range l.Remove {
		if e, ok := s.i.Entries[id]; ok && e.Expired && serving[e.Cell] > 0 {
			e.Phase = Deleted
			changed = append(changed, e.Endpoint)
		}
	}
	return changed
}

// expire drains or removes expired endpoints, and frees records whose holders did not renew.
func (s *State) lapse(l Expiry, c Command) {
	if changed := s.lapses(l); len(changed) > 0 {
		s.turn(changed, c, "leases ran out", func(e *Entry) { e.Expired = true })
	}
	for _, h := range l.Records {
		if r, ok := s.i.Records[h.Name]; ok && r.Token == h.Token && r.TTL > 0 && r.Holder != "" {
			r.Holder = ""
			s.i.Records[h.Name] = r
		}
	}
}

func (s *State) acquire(h RecordOp) (int64, error) {
	if err := errors.Join(checkName("name", h.Name), checkName("holder", h.Holder)); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if h.TTL != 0 && (h.TTL < MinTTLMS || h.TTL > MaxTTLMS) || len(h.Value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: a record is limited to %d bytes, and its lease must be 0 or %d to %d ms", ErrInvalid, MaxValueBytes, int64(MinTTLMS), int64(MaxTTLMS))
	}
	r, ok := s.i.Records[h.Name]
	if !ok && len(s.i.Records) >= MaxRecords {
		return 0, fmt.Errorf("%w: the service is limited to %d records", ErrFull, MaxRecords)
	}
	if r.Holder != "" && r.Holder != h.Holder {
		return r.Token, fmt.Errorf("record %q is held by %q: %w", h.Name, r.Holder, ErrNotHolder)
	}
	// Acquiring again yields a new token and a new lease, because the expiry of the old lease may already be
	// in the log.
	s.i.LastToken++
	r.Token = s.i.LastToken
	r.Name, r.Holder, r.TTL = h.Name, h.Holder, h.TTL
	if h.SetValue {
		r.Value = h.Value
	}
	s.i.Records[h.Name] = r
	return r.Token, nil
}

// heldRecord returns a record if the operation's token is the one that holds it.
func (s *State) owned(h RecordOp) (Record, error) {
	r, ok := s.i.Records[h.Name]
	switch {
	case !ok:
		return r, fmt.Errorf("record %.40q: %w", h.Name, ErrNotFound)
	case r.Holder == "" || r.Token != h.Token:
		return r, fmt.Errorf("record %q, token %d: %w", h.Name, h.Token, ErrNotHolder)
	}
	return r, nil
}

func (s *State) update(h RecordOp) (int64, error) {
	r, err := s.owned(h)
	if err != nil {
		return 0, err
	}
	if len(h.Value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: the value of a record is limited to %d bytes", ErrInvalid, MaxValueBytes)
	}
	r.Value = h.Value
	s.i.Records[h.Name] = r
	return r.Token, nil
}

// release frees a record. Its value stays for the next holder.
func (s *State) release(h RecordOp) error {
	r, err := s.owned(h)
	if err != nil {
		return err
	}
	r.Holder = ""
	s.i.Records[h.Name] = r
	return nil
}
