package catalog

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// What is kept of the past, the same on every replica: whether a write may rest on an old revision depends on it.
const (
	MaxChanges  = 10_000
	MaxMentions = 100_000 // of endpoints in the kept changes
)

// Why a command was not carried out.
var (
	ErrConflict = errors.New("what the write rests on has changed")
	ErrHeld     = errors.New("held back until it is confirmed or has stood for long enough")
	ErrUnknown  = errors.New("there is none of that name")
	ErrTaken    = errors.New("another holds it")
	ErrBad      = errors.New("not well formed")
	ErrFull     = errors.New("no room")
	ErrNew      = errors.New("nothing has been founded yet")
)

// Base is what a write rests on.
type Base struct {
	Any      bool  `cbor:",omitempty"` // on nothing: it is done whatever others did
	History  int64 `cbor:",omitempty"` // 0: the present one
	Revision int64
}

// Write changes the list: all of it or nothing.
type Write struct {
	Base      Base
	Whole     bool       `cbor:",omitempty"` // Members are the whole list; what is not among them goes
	Members   []Endpoint // with phase Deleted: those that go
	TTL       int64      `cbor:",omitempty"` // ms; more than 0: the members are registered with a lease
	Guard     float64    `cbor:",omitempty"` // share of the serving endpoints that may go at once unconfirmed
	Confirmed bool       `cbor:",omitempty"` // the guard has nothing to say
	Why       string     `cbor:",omitempty"`
	// Most is how many endpoints the list may hold with it, MaxMembers at most. It stands in the write, as Guard does, so that
	// all replicas judge alike whatever their settings are. 0: UsualMembers, as builds have it that know no Most.
	Most int64 `cbor:",omitempty"`
}

// Hold acquires a record, renews what it holds, or lets go of it.
type Hold struct {
	Name    string
	Holder  string `cbor:",omitempty"`
	Token   int64  `cbor:",omitempty"` // of Update and Release
	TTL     int64  `cbor:",omitempty"` // ms; 0: it holds until it is released
	Value   []byte `cbor:",omitempty"`
	SetsVal bool   `cbor:",omitempty"`
}

// Lapse names leases that were not renewed, and records whose holders did not come back.
type Lapse struct {
	Drain   []string `cbor:",omitempty"` // endpoints, which drain now
	Gone    []string `cbor:",omitempty"` // endpoints that have drained
	Share   float64  // of a partner's endpoints that may have lapsed at once
	Records []Hold   `cbor:",omitempty"` // by name and token
}

// Replica is where a replica of the service is reached.
type Replica struct {
	ID   string `json:"id"`
	HTTP string `json:"http"`
	Raft string `json:"raft"`
}

// Command changes the state. One of its pointers is set.
type Command struct {
	At int64  // Unix ms, as its proposer's clock had it; for people to read, and to number histories
	By string `cbor:",omitempty"`

	Found   *Found   `cbor:",omitempty"`
	Write   *Write   `cbor:",omitempty"`
	Confirm *Confirm `cbor:",omitempty"`
	Lapse   *Lapse   `cbor:",omitempty"`
	Acquire *Hold    `cbor:",omitempty"`
	Update  *Hold    `cbor:",omitempty"`
	Release *Hold    `cbor:",omitempty"`
	Restore *Image   `cbor:",omitempty"`
	Invite  *Replica `cbor:",omitempty"`
	Dismiss *Replica `cbor:",omitempty"`
	Vouch   *Vouch   `cbor:",omitempty"`
}

// Vouch says whether the source that the list is taken from still speaks.
type Vouch struct{ Silent bool }

// Found begins the first history.
type Found struct{ Replicas []Replica }

// Confirm lets what is held back happen, or drops it.
type Confirm struct {
	Number int64
	Drop   bool `cbor:",omitempty"`
}

// Result is what came of a command.
type Result struct {
	Revision int64 // of the list, after it
	Token    int64 // of a record
	Held     int64 // number of what is held back
	Err      error // one of the package's, perhaps wrapped
}

// Entry is an endpoint on the list.
type Entry struct {
	Endpoint
	Revision int64 // that changed it last
	TTL      int64 `cbor:",omitempty" json:",omitempty"` // ms; 0: no lease
	Lapsed   bool  `cbor:",omitempty" json:",omitempty"` // drains since its lease was not renewed
	ByHand   bool  `cbor:",omitempty" json:",omitempty"` // drains since somebody wants it to; coming back does not undo that
}

// Change is one revision.
type Change struct {
	Revision int64      `json:"revision"`
	At       int64      `json:"at_ms"`
	By       string     `json:"by" cbor:",omitempty"`
	Why      string     `json:"why" cbor:",omitempty"`
	Members  []Endpoint `json:"members"`
	// Moved are those of the members that had another partner before: it is told that they are gone. Nil, and not just empty: not
	// known, for an older build's snapshot does not tell.
	Moved []Move `json:"-" cbor:"Moved"`
}

// Held is a write that waits.
type Held struct {
	Number int64  `json:"number"`
	At     int64  `json:"at_ms"`
	By     string `json:"by"`
	Gone   int    `json:"gone"` // serving endpoints that it would take away
	Of     int    `json:"of"`
	Write  Write  `json:"-" cbor:"Write"` // without its own tag CBOR would go by JSON's and leave it out
}

// Record is a small value that one holder at a time may change.
type Record struct {
	Name   string `json:"name"`
	Holder string `json:"holder"` // empty: nobody's
	Token  int64  `json:"token"`  // grows with each holder, over all records and histories
	TTL    int64  `json:"ttl_ms"` // 0: no lease
	Value  []byte `json:"value"`
}

// Image is the whole state, as snapshots and backups hold it.
type Image struct {
	History  int64 // grows with each restore; 0: nothing was ever founded
	Revision int64
	Entries  map[string]Entry
	Changes  []Change
	Past     int64 // the changes after this revision are kept
	Held     *Held
	Numbers  int64 // given to what was held back
	Records  map[string]Record
	Token    int64 // the last one given
	Replicas map[string]Replica
	Silent   int64 // Unix ms since when the source of the list says nothing; 0: it speaks, or there is none
}

// State is the state machine. It is not safe for use by several goroutines at once.
type State struct {
	i        Image
	mentions int // in the kept changes
	parts    partIndex
}

// New is the state before the first command.
func New() *State {
	return &State{i: Image{Entries: map[string]Entry{}, Records: map[string]Record{}, Replicas: map[string]Replica{}}, parts: partIndex{}}
}

// Load makes a state of an image, which it takes over. One that can't be of this package's making is an error.
func Load(i Image) (*State, error) {
	if i.Revision < 0 || i.Past < 0 || i.Past > i.Revision || int64(len(i.Changes)) != i.Revision-i.Past || len(i.Entries) > MaxMembers ||
		len(i.Changes) > MaxChanges || len(i.Records) > MaxRecords || i.History < 0 || i.Token < 0 {
		return nil, fmt.Errorf("%w: the figures of the image contradict each other", ErrBad)
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
		if c.Revision != i.Past+int64(n)+1 {
			return nil, fmt.Errorf("%w: change %d stands where %d belongs", ErrBad, c.Revision, i.Past+int64(n)+1)
		}
		s.mentions += len(c.Members)
	}
	for id, e := range i.Entries {
		if err := e.Check(); err != nil || e.ID != id || e.Phase == Deleted || e.Revision > i.Revision {
			return nil, fmt.Errorf("%w: endpoint %.40q", ErrBad, id)
		}
	}
	for name, r := range i.Records {
		if r.Name != name || r.Token > i.Token || len(r.Value) > MaxValue {
			return nil, fmt.Errorf("%w: record %.40q", ErrBad, name)
		}
	}
	s.parts = newPartIndex(s.i.Entries)
	return s, nil
}

// Image is a copy of the state. The changes' members and the records' values are shared and never written to.
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

// History is the number of the present history; within one, revisions only grow.
func (s *State) History() int64 { return s.i.History }

// Revision is the list's; 0 until something was written.
func (s *State) Revision() int64 { return s.i.Revision }

// Held is what is held back, or nil.
func (s *State) Held() *Held { return s.i.Held }

// Replicas are those that may be part of the service.
func (s *State) Replicas() map[string]Replica { return s.i.Replicas }

// Silent is since when the source of the list has said nothing, in Unix ms; 0: the list can be vouched for.
func (s *State) Silent() int64 { return s.i.Silent }

// Record finds one by its name.
func (s *State) Record(name string) (Record, bool) {
	r, ok := s.i.Records[name]
	return r, ok
}

// Records are all, in the order of their names.
func (s *State) Records() []Record {
	return slices.SortedFunc(maps.Values(s.i.Records), func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
}

// Entry finds an endpoint by its ID.
func (s *State) Entry(id string) (Entry, bool) {
	e, ok := s.i.Entries[id]
	return e, ok
}

// Size is how many endpoints are on the list.
func (s *State) Size() int { return len(s.i.Entries) }

// Entries are the endpoints, in the order of their IDs.
func (s *State) Entries() []Entry {
	return slices.SortedFunc(maps.Values(s.i.Entries), func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// Whole is the whole list.
func (s *State) Whole() List {
	l := List{Revision: s.i.Revision, Complete: true, Members: make([]Endpoint, 0, len(s.i.Entries))}
	for _, e := range s.Entries() {
		l.Members = append(l.Members, e.Endpoint)
	}
	return l
}

// Changes are the kept ones after a revision, and whether those are all there were. The caller must not change them.
func (s *State) Changes(after int64) ([]Change, bool) {
	if after < s.i.Past {
		return s.i.Changes, false
	}
	return s.i.Changes[min(after-s.i.Past, int64(len(s.i.Changes))):], true
}

// Since is what changed after a revision, each endpoint once; the whole list where that is not known or no longer.
func (s *State) Since(after int64) List {
	changes, all := s.Changes(after)
	if !all || after > s.i.Revision {
		return s.Whole()
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
		if len(l.Members) > len(s.i.Entries)+100 { // the whole list is shorter
			return s.Whole()
		}
	}
	return l
}

// Apply carries out a command. It is the only way in which the state changes.
func (s *State) Apply(c Command) Result {
	var r Result
	switch {
	case s.i.History == 0 && c.Found == nil && c.Restore == nil:
		r.Err = ErrNew
	case c.Found != nil:
		r.Err = s.found(*c.Found, c.At)
	case c.Write != nil:
		r.Held, r.Err = s.write(*c.Write, c)
	case c.Confirm != nil:
		r.Err = s.confirm(*c.Confirm, c)
	case c.Lapse != nil:
		s.lapse(*c.Lapse, c)
	case c.Acquire != nil:
		r.Token, r.Err = s.acquire(*c.Acquire)
	case c.Update != nil:
		r.Token, r.Err = s.update(*c.Update)
	case c.Release != nil:
		r.Err = s.release(*c.Release)
	case c.Restore != nil:
		r.Err = s.restore(*c.Restore, c.At)
	case c.Invite != nil:
		s.i.Replicas[c.Invite.ID] = *c.Invite
	case c.Dismiss != nil:
		if _, ok := s.i.Replicas[c.Dismiss.ID]; !ok {
			r.Err = fmt.Errorf("replica %q: %w", c.Dismiss.ID, ErrUnknown)
		}
		delete(s.i.Replicas, c.Dismiss.ID)
	case c.Vouch != nil:
		if s.i.Silent = 0; c.Vouch.Silent {
			s.i.Silent = max(c.At, 1)
		}
	default:
		r.Err = fmt.Errorf("%w: a command that says nothing", ErrBad)
	}
	r.Revision = s.i.Revision
	return r
}

func (s *State) found(f Found, at int64) error {
	if s.i.History != 0 {
		return fmt.Errorf("%w: it was founded before", ErrConflict)
	}
	s.i.History = max(at, 1)
	s.i.Token = s.i.History // so that tokens never come again, whatever is restored or lost
	for _, r := range f.Replicas {
		s.i.Replicas[r.ID] = r
	}
	return nil
}

// restore takes a backup's list and records over. The replicas stay, and nothing that was given out comes again.
func (s *State) restore(i Image, at int64) error {
	was := s.i
	next, err := Load(i)
	if err != nil {
		return err
	}
	*s = *next
	s.i.History = max(at, was.History+1, i.History+1)
	s.i.Token = max(s.i.History, was.Token, i.Token)
	s.i.Replicas, s.i.Held = was.Replicas, nil
	if s.i.Replicas == nil {
		s.i.Replicas = map[string]Replica{}
	}
	return nil
}

// checkBase tells whether what a write rests on still stands: for a whole list nothing may have changed, else nothing
// about the endpoints that it names.
func (s *State) checkBase(w Write) error {
	if w.Base.Any {
		return nil
	}
	if w.Base.History != 0 && w.Base.History != s.i.History {
		return fmt.Errorf("%w: the list was restored from a backup since", ErrConflict)
	}
	if w.Base.Revision > s.i.Revision {
		return fmt.Errorf("%w: revision %d is not reached, the list is at %d", ErrConflict, w.Base.Revision, s.i.Revision)
	}
	changes, all := s.Changes(w.Base.Revision)
	if w.Whole && len(changes) > 0 {
		return fmt.Errorf("%w: the list is at revision %d", ErrConflict, s.i.Revision)
	}
	if !all {
		return fmt.Errorf("%w: revision %d is too old to tell; read the list again", ErrConflict, w.Base.Revision)
	}
	named := make(map[string]bool, len(w.Members))
	for _, m := range w.Members {
		named[m.ID] = true
	}
	for _, c := range changes {
		for _, m := range c.Members {
			if named[m.ID] {
				return fmt.Errorf("%w: endpoint %q at revision %d", ErrConflict, m.ID, c.Revision)
			}
		}
	}
	return nil
}

func (s *State) write(w Write, c Command) (int64, error) {
	named := make(map[string]bool, len(w.Members))
	for _, m := range w.Members {
		if err := m.Check(); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrBad, err)
		}
		if named[m.ID] {
			return 0, fmt.Errorf("%w: endpoint %q stands there twice", ErrBad, m.ID)
		}
		named[m.ID] = true
	}
	if w.TTL != 0 && (w.TTL < MinTTL || w.TTL > MaxTTL) {
		return 0, fmt.Errorf("%w: a lease has %d to %d ms", ErrBad, int64(MinTTL), int64(MaxTTL))
	}
	if len(w.Why) > maxText {
		return 0, fmt.Errorf("%w: a reason has %d bytes at most", ErrBad, maxText)
	}
	if err := s.checkBase(w); err != nil {
		return 0, err
	}
	changed := s.changed(w)
	if !w.Confirmed && w.Guard > 0 {
		if gone, of := s.loss(changed); of > 0 && (gone == of || float64(gone) > w.Guard*float64(of)) {
			if h := s.i.Held; h != nil && sameMembers(h.Write, w) { // it stands since then
				return h.Number, fmt.Errorf("%d of %d serving endpoints would go: %w", gone, of, ErrHeld)
			}
			s.i.Numbers++
			s.i.Held = &Held{Number: s.i.Numbers, At: c.At, By: c.By, Gone: gone, Of: of, Write: w}
			return s.i.Numbers, fmt.Errorf("%d of %d serving endpoints would go: %w", gone, of, ErrHeld)
		}
	}
	if w.Whole { // a later whole list goes before one that waits
		s.i.Held = nil
	}
	return 0, s.commit(changed, w, c)
}

// Fits tells whether the list has room for a write, by the write's own bound. What does not fit is ErrFull, here as in Apply.
func (s *State) Fits(w Write) error {
	fresh := 0
	for _, m := range w.Members {
		if _, listed := s.i.Entries[m.ID]; !listed && m.Phase != Deleted {
			fresh++
		}
	}
	return s.room(fresh, w.Most)
}

// room tells whether so many more endpoints fit. A whole list's are counted beside those that go, as ever: what one build
// refuses the others must.
func (s *State) room(fresh int, most int64) error {
	if most <= 0 {
		most = UsualMembers
	}
	if most = min(most, MaxMembers); fresh > 0 && int64(len(s.i.Entries)+fresh) > most {
		return fmt.Errorf("%w: the list holds %d endpoints at most", ErrFull, most)
	}
	return nil
}

func sameMembers(a, b Write) bool {
	byID := func(x, y Endpoint) int { return cmp.Compare(x.ID, y.ID) }
	return a.Whole == b.Whole && a.TTL == b.TTL && len(a.Members) == len(b.Members) &&
		slices.Equal(slices.SortedFunc(slices.Values(a.Members), byID), slices.SortedFunc(slices.Values(b.Members), byID))
}

// outlast takes what was changed since out of a write that waits, so that its confirmation does not undo it: a whole list
// gets it, and changes lose what they would have done to the same endpoints.
func (h *Held) outlast(changed []Endpoint) {
	at := make(map[string]Endpoint, len(changed))
	for _, m := range changed {
		at[m.ID] = m
	}
	members := slices.DeleteFunc(slices.Clone(h.Write.Members), func(m Endpoint) bool {
		_, is := at[m.ID]
		return is
	})
	if h.Write.Whole {
		for _, m := range changed {
			if m.Phase != Deleted {
				members = append(members, m)
			}
		}
	}
	h.Write.Members = members
}

// changed is what a write changes, in the order of the IDs.
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
		if w.TTL > 0 && old.ByHand {
			m.Phase = Draining
		}
		if !listed || old.Endpoint != m || w.TTL != 0 && old.TTL != w.TTL || old.Lapsed || w.TTL == 0 && old.ByHand != (m.Phase == Draining) {
			out = append(out, m)
		}
	}
	if w.Whole {
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

// loss is how many of the serving endpoints a change takes away.
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

// commit makes a revision of a change; what changes nothing makes none.
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
	if err := s.room(fresh, w.Most); err != nil {
		return err
	}
	s.turn(changed, c, w.Why, func(e *Entry) {
		e.Lapsed = false
		if w.TTL == 0 { // who writes by hand does not end a lease
			e.ByHand = e.Phase == Draining
		} else {
			e.TTL = w.TTL
		}
	})
	return nil
}

// turn makes a revision of what has changed, with what else becomes of each entry that stays, and keeps it among the
// changes, of which it lets go of the oldest beyond the bounds.
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
	s.i.Changes = append(s.i.Changes, Change{Revision: s.i.Revision, At: c.At, By: c.By, Why: why, Members: changed, Moved: moved})
	s.mentions += len(changed)
	if s.i.Held != nil {
		s.i.Held.outlast(changed)
	}
	drop := 0
	for len(s.i.Changes)-drop > MaxChanges || (s.mentions > MaxMentions && len(s.i.Changes)-drop > 1) {
		s.mentions -= len(s.i.Changes[drop].Members)
		drop++
	}
	if drop > 0 {
		s.i.Past += int64(drop)
		clear(s.i.Changes[:drop])
		s.i.Changes = s.i.Changes[drop:] // append moves the rest to a new array now and then
	}
}

func (s *State) confirm(a Confirm, c Command) error {
	h := s.i.Held
	if h == nil || h.Number != a.Number {
		return fmt.Errorf("nothing is held back under number %d: %w", a.Number, ErrUnknown)
	}
	s.i.Held = nil
	if a.Drop {
		return nil
	}
	return s.commit(s.changed(h.Write), h.Write, c)
}

// lapses is what becomes of endpoints whose leases ran out: they drain, and go once they have drained. Of a partner no
// more than the share has lapsed at once, and its last serving endpoint never does.
func (s *State) lapses(l Lapse) []Endpoint {
	all, lapsed, serving := map[int]int{}, map[int]int{}, map[int]int{}
	for _, e := range s.i.Entries {
		all[e.Cell]++
		if e.Lapsed {
			lapsed[e.Cell]++
		}
		if e.Phase == Serving {
			serving[e.Cell]++
		}
	}
	var changed []Endpoint
	for _, id := range l.Drain {
		e, ok := s.i.Entries[id]
		if !ok || e.TTL == 0 || e.Lapsed || lapsed[e.Cell]+1 > int(math.Floor(l.Share*float64(all[e.Cell]))) ||
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
	for _, id := range l.Gone {
		if e, ok := s.i.Entries[id]; ok && e.Lapsed && serving[e.Cell] > 0 {
			e.Phase = Deleted
			changed = append(changed, e.Endpoint)
		}
	}
	return changed
}

// lapse carries that out, and frees records whose holders did not renew.
func (s *State) lapse(l Lapse, c Command) {
	if changed := s.lapses(l); len(changed) > 0 {
		s.turn(changed, c, "leases ran out", func(e *Entry) { e.Lapsed = true })
	}
	for _, h := range l.Records {
		if r, ok := s.i.Records[h.Name]; ok && r.Token == h.Token && r.TTL > 0 && r.Holder != "" {
			r.Holder = ""
			s.i.Records[h.Name] = r
		}
	}
}

func (s *State) acquire(h Hold) (int64, error) {
	if err := errors.Join(checkName("name", h.Name), checkName("holder", h.Holder)); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrBad, err)
	}
	if h.TTL != 0 && (h.TTL < MinTTL || h.TTL > MaxTTL) || len(h.Value) > MaxValue {
		return 0, fmt.Errorf("%w: a record has %d bytes at most and a lease of 0 or %d to %d ms", ErrBad, MaxValue, int64(MinTTL), int64(MaxTTL))
	}
	r, ok := s.i.Records[h.Name]
	if !ok && len(s.i.Records) >= MaxRecords {
		return 0, fmt.Errorf("%w: %d records are kept at most", ErrFull, MaxRecords)
	}
	if r.Holder != "" && r.Holder != h.Holder {
		return r.Token, fmt.Errorf("record %q is held by %q: %w", h.Name, r.Holder, ErrTaken)
	}
	// A holder that acquires again has a new token, and its lease anew: the end of the old one may be on its way.
	s.i.Token++
	r.Token = s.i.Token
	r.Name, r.Holder, r.TTL = h.Name, h.Holder, h.TTL
	if h.SetsVal {
		r.Value = h.Value
	}
	s.i.Records[h.Name] = r
	return r.Token, nil
}

// owned finds a record that the token still holds.
func (s *State) owned(h Hold) (Record, error) {
	r, ok := s.i.Records[h.Name]
	switch {
	case !ok:
		return r, fmt.Errorf("record %.40q: %w", h.Name, ErrUnknown)
	case r.Holder == "" || r.Token != h.Token:
		return r, fmt.Errorf("record %q: token %d does not hold it: %w", h.Name, h.Token, ErrTaken)
	}
	return r, nil
}

func (s *State) update(h Hold) (int64, error) {
	r, err := s.owned(h)
	if err != nil {
		return 0, err
	}
	if len(h.Value) > MaxValue {
		return 0, fmt.Errorf("%w: a record has %d bytes at most", ErrBad, MaxValue)
	}
	r.Value = h.Value
	s.i.Records[h.Name] = r
	return r.Token, nil
}

// release frees a record, whose value stays for the next holder.
func (s *State) release(h Hold) error {
	r, err := s.owned(h)
	if err != nil {
		return err
	}
	r.Holder = ""
	s.i.Records[h.Name] = r
	return nil
}
