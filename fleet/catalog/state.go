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
	image            Image
	changedEndpoints int // endpoints over all kept changes
	partitions       partitionIndex
}

// New returns the state before the first command.
func New() *State {
	return &State{image: Image{Entries: map[string]Entry{}, Records: map[string]Record{}, Replicas: map[string]Replica{}}, partitions: partitionIndex{}}
}

// Load builds a state from an image and takes ownership of it. It rejects an image that no State can have
// produced.
func Load(image Image) (*State, error) {
	if image.Revision < 0 || image.CompactedRevision < 0 || image.CompactedRevision > image.Revision || int64(len(image.Changes)) != image.Revision-image.CompactedRevision || len(image.Entries) > MaxEndpoints ||
		len(image.Changes) > MaxChanges || len(image.Records) > MaxRecords || image.History < 0 || image.LastToken < 0 {
		return nil, fmt.Errorf("%w: the counts and revisions of the image are inconsistent", ErrInvalid)
	}
	s := &State{image: image}
	if s.image.Entries == nil {
		s.image.Entries = map[string]Entry{}
	}
	if s.image.Records == nil {
		s.image.Records = map[string]Record{}
	}
	if s.image.Replicas == nil {
		s.image.Replicas = map[string]Replica{}
	}
	for index, c := range image.Changes {
		if c.Revision != image.CompactedRevision+int64(index)+1 {
			return nil, fmt.Errorf("%w: found change %d in place of change %d", ErrInvalid, c.Revision, image.CompactedRevision+int64(index)+1)
		}
		s.changedEndpoints += len(c.Members)
	}
	for id, e := range image.Entries {
		if err := e.Validate(); err != nil || e.ID != id || e.Phase == Deleted || e.Revision > image.Revision {
			return nil, fmt.Errorf("%w: endpoint %.40q", ErrInvalid, id)
		}
	}
	for name, r := range image.Records {
		if r.Name != name || r.Token > image.LastToken || len(r.Value) > MaxValueBytes {
			return nil, fmt.Errorf("%w: record %.40q", ErrInvalid, name)
		}
	}
	s.partitions = newPartitionIndex(s.image.Entries)
	return s, nil
}

// Image copies the state. The members of changes and the values of records are shared; they are never
// modified.
func (s *State) Image() Image {
	image := s.image
	image.Entries, image.Records, image.Replicas = maps.Clone(image.Entries), maps.Clone(image.Records), maps.Clone(image.Replicas)
	image.Changes = slices.Clone(image.Changes)
	if image.Held != nil {
		h := *image.Held
		image.Held = &h
	}
	return image
}

// History returns the number of the current history. Within one history revisions only increase.
func (s *State) History() int64 { return s.image.History }

// Revision returns the revision of the list, 0 before the first write.
func (s *State) Revision() int64 { return s.image.Revision }

// Held returns the write that waits for confirmation, or nil.
func (s *State) Held() *HeldWrite { return s.image.Held }

// Replicas returns the replicas that may join the service.
func (s *State) Replicas() map[string]Replica { return s.image.Replicas }

// SourceSilentSince returns since when the source of the list has been silent, in Unix ms, or 0.
func (s *State) SourceSilentSince() int64 { return s.image.SourceSilentSince }

func (s *State) Record(name string) (Record, bool) {
	r, ok := s.image.Records[name]
	return r, ok
}

// Records returns all records, sorted by name.
func (s *State) Records() []Record {
	return slices.SortedFunc(maps.Values(s.image.Records), func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
}

// Entry returns the endpoint with an ID.
func (s *State) Entry(id string) (Entry, bool) {
	e, ok := s.image.Entries[id]
	return e, ok
}

// Size returns the number of listed endpoints.
func (s *State) Size() int { return len(s.image.Entries) }

// Entries returns the listed endpoints, sorted by ID.
func (s *State) Entries() []Entry {
	return slices.SortedFunc(maps.Values(s.image.Entries), func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// FullList returns the complete list.
func (s *State) FullList() List {
	l := List{Revision: s.image.Revision, Complete: true, Members: make([]Endpoint, 0, len(s.image.Entries))}
	for _, e := range s.Entries() {
		l.Members = append(l.Members, e.Endpoint)
	}
	return l
}

// ChangesAfter returns the kept changes after a revision, and whether none of them has been discarded. The
// caller must not modify them.
func (s *State) ChangesAfter(after int64) ([]Change, bool) {
	if after < s.image.CompactedRevision {
		return s.image.Changes, false
	}
	return s.image.Changes[min(after-s.image.CompactedRevision, int64(len(s.image.Changes))):], true
}

// ListSince returns what changed after a revision, each endpoint once, or the complete list if those changes
// are unknown or no longer kept.
func (s *State) ListSince(after int64) List {
	changes, all := s.ChangesAfter(after)
	if !all || after > s.image.Revision {
		return s.FullList()
	}
	indexByID := map[string]int{}
	l := List{Revision: s.image.Revision, Members: []Endpoint{}}
	for _, c := range changes {
		for _, m := range c.Members {
			if n, ok := indexByID[m.ID]; ok {
				l.Members[n] = m
				continue
			}
			indexByID[m.ID] = len(l.Members)
			l.Members = append(l.Members, m)
		}
		if len(l.Members) > len(s.image.Entries)+100 { // the complete list is shorter
			return s.FullList()
		}
	}
	return l
}

// Apply applies a command. Nothing else changes the state.
func (s *State) Apply(c Command) Result {
	var r Result
	switch {
	case s.image.History == 0 && c.Bootstrap == nil && c.Restore == nil:
		r.Err = ErrNotBootstrapped
	case c.Bootstrap != nil:
		r.Err = s.bootstrap(*c.Bootstrap, c.At)
	case c.Write != nil:
		r.Held, r.Err = s.write(*c.Write, c)
	case c.Confirm != nil:
		r.Err = s.confirm(*c.Confirm, c)
	case c.Expire != nil:
		s.expire(*c.Expire, c)
	case c.Acquire != nil:
		r.Token, r.Err = s.acquire(*c.Acquire)
	case c.Update != nil:
		r.Token, r.Err = s.update(*c.Update)
	case c.Release != nil:
		r.Err = s.release(*c.Release)
	case c.Restore != nil:
		r.Err = s.restore(*c.Restore, c.At)
	case c.AddReplica != nil:
		s.image.Replicas[c.AddReplica.ID] = *c.AddReplica
	case c.RemoveReplica != nil:
		if _, ok := s.image.Replicas[c.RemoveReplica.ID]; !ok {
			r.Err = fmt.Errorf("replica %q: %w", c.RemoveReplica.ID, ErrNotFound)
		}
		delete(s.image.Replicas, c.RemoveReplica.ID)
	case c.SourceStatus != nil:
		if s.image.SourceSilentSince = 0; c.SourceStatus.Silent {
			s.image.SourceSilentSince = max(c.At, 1)
		}
	default:
		r.Err = fmt.Errorf("%w: empty command", ErrInvalid)
	}
	r.Revision = s.image.Revision
	return r
}

func (s *State) bootstrap(bootstrap Bootstrap, atMS int64) error {
	if s.image.History != 0 {
		return fmt.Errorf("%w: the service is already bootstrapped", ErrConflict)
	}
	s.image.History = max(atMS, 1)
	s.image.LastToken = s.image.History // fencing tokens never repeat, even after a restore or a loss of data
	for _, r := range bootstrap.Replicas {
		s.image.Replicas[r.ID] = r
	}
	return nil
}

// restore adopts the list and records of a backup. It keeps the replicas, and never reuses a history number
// or a fencing token.
func (s *State) restore(image Image, atMS int64) error {
	previous := s.image
	next, err := Load(image)
	if err != nil {
		return err
	}
	*s = *next
	s.image.History = max(atMS, previous.History+1, image.History+1)
	s.image.LastToken = max(s.image.History, previous.LastToken, image.LastToken)
	s.image.Replicas, s.image.Held = previous.Replicas, nil
	if s.image.Replicas == nil {
		s.image.Replicas = map[string]Replica{}
	}
	return nil
}

// checkBase checks the base revision of a write. A write of the complete list requires that nothing has
// changed since; any other, that none of its own endpoints has.
func (s *State) checkBase(w Write) error {
	if w.Base.Any {
		return nil
	}
	if w.Base.History != 0 && w.Base.History != s.image.History {
		return fmt.Errorf("%w: the list was restored from a backup", ErrConflict)
	}
	if w.Base.Revision > s.image.Revision {
		return fmt.Errorf("%w: base revision %d is ahead of the list's revision %d", ErrConflict, w.Base.Revision, s.image.Revision)
	}
	changes, all := s.ChangesAfter(w.Base.Revision)
	if w.Replace && len(changes) > 0 {
		return fmt.Errorf("%w: the current revision is %d", ErrConflict, s.image.Revision)
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
	if len(w.Reason) > maxReasonBytes {
		return 0, fmt.Errorf("%w: the reason exceeds %d bytes", ErrInvalid, maxReasonBytes)
	}
	if err := s.checkBase(w); err != nil {
		return 0, err
	}
	changed := s.effectiveChanges(w)
	if !w.Confirmed && w.GuardShare > 0 {
		if removed, total := s.servingLoss(changed); total > 0 && (removed == total || float64(removed) > w.GuardShare*float64(total)) {
			if held := s.image.Held; held != nil && sameMembers(held.Write, w) { // the same write, held since the first attempt
				return held.Number, fmt.Errorf("%d of %d serving endpoints would go: %w", removed, total, ErrHeld)
			}
			replaced := ""
			if held := s.image.Held; held != nil {
				replaced = fmt.Sprintf(", in place of held write %d", held.Number)
			}
			s.image.LastHeldNumber++
			s.image.Held = &HeldWrite{Number: s.image.LastHeldNumber, At: c.At, By: c.By, Removed: removed, ServingTotal: total, Write: w}
			return s.image.LastHeldNumber, fmt.Errorf("%d of %d serving endpoints would go%s: %w", removed, total, replaced, ErrHeld)
		}
	}
	if w.Replace { // a newer complete list supersedes the held write
		s.image.Held = nil
	}
	return 0, s.commit(changed, w, c)
}

// CheckCapacity returns ErrFull if the list has no room for a write, by the same rule as Apply.
func (s *State) CheckCapacity(w Write) error {
	added := 0
	for _, m := range w.Members {
		if _, listed := s.image.Entries[m.ID]; !listed && m.Phase != Deleted {
			added++
		}
	}
	return s.checkCount(added, w.MaxEndpoints)
}

// checkCount checks whether the list has room for more endpoints. It counts those of a complete list on top
// of the ones that the list replaces: builds must not differ in what they accept, and older ones count so.
func (s *State) checkCount(added int, limit int64) error {
	if limit <= 0 {
		limit = DefaultMaxEndpoints
	}
	if limit = min(limit, MaxEndpoints); added > 0 && int64(len(s.image.Entries)+added) > limit {
		return fmt.Errorf("%w: the list is limited to %d endpoints", ErrFull, limit)
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
func (h *HeldWrite) rebase(changed []Endpoint) {
	byID := make(map[string]Endpoint, len(changed))
	for _, m := range changed {
		byID[m.ID] = m
	}
	members := slices.DeleteFunc(slices.Clone(h.Write.Members), func(m Endpoint) bool {
		_, found := byID[m.ID]
		return found
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
func (s *State) effectiveChanges(w Write) []Endpoint {
	var out []Endpoint
	named := make(map[string]bool, len(w.Members))
	for _, m := range w.Members {
		named[m.ID] = true
		old, listed := s.image.Entries[m.ID]
		if m.Phase == Deleted {
			if listed {
				removed := old.Endpoint
				removed.Phase = Deleted
				out = append(out, removed)
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
		for id, e := range s.image.Entries {
			if !named[id] {
				removed := e.Endpoint
				removed.Phase = Deleted
				out = append(out, removed)
			}
		}
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// servingLoss counts the serving endpoints that a change removes, out of all that serve.
func (s *State) servingLoss(changed []Endpoint) (removed, total int) {
	for _, e := range s.image.Entries {
		if e.Phase == Serving {
			total++
		}
	}
	for _, m := range changed {
		if s.image.Entries[m.ID].Phase == Serving && m.Phase != Serving {
			removed++
		}
	}
	return removed, total
}

// commit records a change as a new revision, unless it is empty.
func (s *State) commit(changed []Endpoint, w Write, c Command) error {
	if len(changed) == 0 {
		return nil
	}
	added := 0
	for _, m := range changed {
		if _, listed := s.image.Entries[m.ID]; !listed {
			added++
		}
	}
	if err := s.checkCount(added, w.MaxEndpoints); err != nil {
		return err
	}
	s.advance(changed, c, w.Reason, func(e *Entry) {
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
func (s *State) advance(changed []Endpoint, c Command, reason string, update func(*Entry)) {
	s.image.Revision++
	moved := []Move{}
	for _, m := range changed {
		e, listed := s.image.Entries[m.ID]
		if listed && (m.Phase == Deleted || m.Cell != e.Cell) {
			s.partitions.remove(m.ID, e.Cell)
		}
		if m.Phase == Deleted {
			delete(s.image.Entries, m.ID)
			continue
		}
		if listed && m.Cell != e.Cell {
			former := e.Endpoint
			former.Phase = Deleted
			moved = append(moved, Move{former, m.Cell})
		}
		if !listed || m.Cell != e.Cell {
			s.partitions.add(m.ID, m.Cell)
		}
		e.Endpoint, e.Revision = m, s.image.Revision
		update(&e)
		s.image.Entries[m.ID] = e
	}
	s.image.Changes = append(s.image.Changes, Change{Revision: s.image.Revision, At: c.At, By: c.By, Reason: reason, Members: changed, Moved: moved})
	s.changedEndpoints += len(changed)
	if s.image.Held != nil {
		s.image.Held.rebase(changed)
	}
	discarded := 0
	for len(s.image.Changes)-discarded > MaxChanges || (s.changedEndpoints > MaxChangedEndpoints && len(s.image.Changes)-discarded > 1) {
		s.changedEndpoints -= len(s.image.Changes[discarded].Members)
		discarded++
	}
	if discarded > 0 {
		s.image.CompactedRevision += int64(discarded)
		clear(s.image.Changes[:discarded])
		s.image.Changes = s.image.Changes[discarded:] // append reallocates from time to time, which frees the discarded part
	}
}

func (s *State) confirm(request Confirm, c Command) error {
	held := s.image.Held
	if held == nil || held.Number != request.Number {
		return fmt.Errorf("held write %d: %w", request.Number, ErrNotFound)
	}
	s.image.Held = nil
	if request.Drop {
		return nil
	}
	return s.commit(s.effectiveChanges(held.Write), held.Write, c)
}

// expiredEndpoints returns what becomes of endpoints with expired leases: they drain, and drained ones are
// removed. At most the given share of a partner's endpoints is expired at once, and never its last serving
// endpoint.
func (s *State) expiredEndpoints(expiry Expiry) []Endpoint {
	total, expired, serving := map[int]int{}, map[int]int{}, map[int]int{}
	for _, e := range s.image.Entries {
		total[e.Cell]++
		if e.Expired {
			expired[e.Cell]++
		}
		if e.Phase == Serving {
			serving[e.Cell]++
		}
	}
	var changed []Endpoint
	for _, id := range expiry.Drain {
		e, ok := s.image.Entries[id]
		if !ok || e.TTL == 0 || e.Expired || expired[e.Cell]+1 > int(math.Floor(expiry.MaxShare*float64(total[e.Cell]))) ||
			(e.Phase == Serving && serving[e.Cell] <= 1) {
			continue
		}
		if e.Phase == Serving {
			serving[e.Cell]--
		}
		expired[e.Cell]++
		e.Phase = Draining
		changed = append(changed, e.Endpoint)
	}
	for _, id := range expiry.Remove {
		if e, ok := s.image.Entries[id]; ok && e.Expired && serving[e.Cell] > 0 {
			e.Phase = Deleted
			changed = append(changed, e.Endpoint)
		}
	}
	return changed
}

// expire drains or removes expired endpoints, and frees records whose holders did not renew.
func (s *State) expire(expiry Expiry, c Command) {
	if changed := s.expiredEndpoints(expiry); len(changed) > 0 {
		s.advance(changed, c, "leases ran out", func(e *Entry) { e.Expired = true })
	}
	for _, op := range expiry.Records {
		if record, ok := s.image.Records[op.Name]; ok && record.Token == op.Token && record.TTL > 0 && record.Holder != "" {
			record.Holder = ""
			s.image.Records[op.Name] = record
		}
	}
}

func (s *State) acquire(op RecordOp) (int64, error) {
	if err := errors.Join(checkName("name", op.Name), checkName("holder", op.Holder)); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if op.TTL != 0 && (op.TTL < MinTTLMS || op.TTL > MaxTTLMS) || len(op.Value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: a record is limited to %d bytes, and its lease must be 0 or %d to %d ms", ErrInvalid, MaxValueBytes, int64(MinTTLMS), int64(MaxTTLMS))
	}
	r, ok := s.image.Records[op.Name]
	if !ok && len(s.image.Records) >= MaxRecords {
		return 0, fmt.Errorf("%w: the service is limited to %d records", ErrFull, MaxRecords)
	}
	if r.Holder != "" && r.Holder != op.Holder {
		return r.Token, fmt.Errorf("record %q is held by %q: %w", op.Name, r.Holder, ErrNotHolder)
	}
	// Acquiring again yields a new token and a new lease, because the expiry of the old lease may already be
	// in the log.
	s.image.LastToken++
	r.Token = s.image.LastToken
	r.Name, r.Holder, r.TTL = op.Name, op.Holder, op.TTL
	if op.SetValue {
		r.Value = op.Value
	}
	s.image.Records[op.Name] = r
	return r.Token, nil
}

// heldRecord returns a record if the operation's token is the one that holds it.
func (s *State) heldRecord(op RecordOp) (Record, error) {
	r, ok := s.image.Records[op.Name]
	switch {
	case !ok:
		return r, fmt.Errorf("record %.40q: %w", op.Name, ErrNotFound)
	case r.Holder == "" || r.Token != op.Token:
		return r, fmt.Errorf("record %q, token %d: %w", op.Name, op.Token, ErrNotHolder)
	}
	return r, nil
}

func (s *State) update(op RecordOp) (int64, error) {
	r, err := s.heldRecord(op)
	if err != nil {
		return 0, err
	}
	if len(op.Value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: the value of a record is limited to %d bytes", ErrInvalid, MaxValueBytes)
	}
	r.Value = op.Value
	s.image.Records[op.Name] = r
	return r.Token, nil
}

// release frees a record. Its value stays for the next holder.
func (s *State) release(op RecordOp) error {
	r, err := s.heldRecord(op)
	if err != nil {
		return err
	}
	r.Holder = ""
	s.image.Records[op.Name] = r
	return nil
}
