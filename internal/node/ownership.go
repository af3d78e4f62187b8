package node

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"starlingusher/choice"
	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
	"starlingusher/internal/registry"
)

// With [ownership] a node follows the list of its partitions alone, and takes on what is for them. The loop owns the
// share; a part of consult, the follower, fetches maps and watches what the share says. Maps, lists and what they are of
// come to the loop as events, in their order, so that no list is taken for that of other partitions.

const (
	mapName   = "map.cbor"
	shareName = "share" // the folder of the kept list: a start without [ownership] must not take it for the whole list

	defaultOwners = 3
	maxOwners     = 5

	// A new map is told to all nodes at once. They fetch its 50 KB or so over some milliseconds for each of them.
	fetchEach  = 2 * time.Millisecond
	fetchMost  = 2 * time.Second
	fetchTime  = 7 * time.Second        // for one look, at all addresses
	fetchFirst = 250 * time.Millisecond // pause after a look in vain, doubled each time,
	fetchLast  = 8 * time.Second        // and at most
	unheardFor = time.Minute            // without a sign of life of a watch a map is looked for: the replicas may be too old to tell of one
	keepAgain  = time.Second            // pause after a map that could not be kept
)

// Ownership makes a node one of the owners of a share of the destinations.
type Ownership struct {
	Name   string `toml:"name"`   // the node's, in the map of owners
	Owners int    `toml:"owners"` // of a partition, who share the limits of its destinations; 0: 3
}

// check tells what can't be, and fills in what is not given.
func (o *Ownership) check(addresses []string) error {
	switch {
	case o.Name == "" || len(o.Name) > catalog.MaxNameBytes || strings.ContainsFunc(o.Name, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		return fmt.Errorf("ownership.name has 1 to %d bytes, without spaces and control characters", catalog.MaxNameBytes)
	case o.Owners < 0 || o.Owners > maxOwners:
		return fmt.Errorf("ownership.owners is 1 to %d", maxOwners)
	case len(addresses) == 0:
		return errors.New("ownership needs registry.addresses: the platform's discovery knows of no partitions")
	case o.Owners == 0:
		o.Owners = defaultOwners
	}
	return nil
}

// moduleSettings are the module's. With [ownership] the owners of a destination are the whole fleet that sends to it. They
// have a part of all traffic, and so of what all tenants may send: by that the module knows its share of a limit.
func (c *Config) moduleSettings() choice.Settings {
	s, o := c.Settings, c.Fleet.Ownership
	if o == nil || o.Owners >= s.FleetSize {
		return s
	}
	part := float64(o.Owners) / float64(s.FleetSize)
	s.FleetSize, s.Tenants = o.Owners, slices.Clone(s.Tenants)
	for i := range s.Tenants {
		s.Tenants[i].PerSecond *= part
	}
	return s
}

// owner is the node's name in the map; empty without [ownership].
func (c *Config) owner() string {
	if c.Fleet.Ownership == nil {
		return ""
	}
	return c.Fleet.Ownership.Name
}

// following is what a node follows: the partitions that it owns and, for some time, those that it has lost. It is not
// changed once it has been handed on.
type followedPartitions struct {
	mapNumber int64 // of the map; 0: there is none
	member    bool  // it names this node
	owned     ownership.Set
	lingering []lingeringPartitions
	unkept    bool // the folder could not take the map
}

// lost are partitions that are followed on, for what was taken on for them.
type lingeringPartitions struct {
	set   ownership.Set
	until time.Time
}

// at is what is followed at a time, and when that becomes less; zero: never.
func (f *followedPartitions) setAt(now time.Time) (set ownership.Set, less time.Time) {
	set = f.owned
	for _, l := range f.lingering {
		if now.Before(l.until) {
			set = set.Union(l.set)
			if less.IsZero() || l.until.Before(less) {
				less = l.until
			}
		}
	}
	return set, less
}

// unready tells why it does not serve, "" if it does.
func (f *followedPartitions) unready() string {
	switch {
	case f.mapNumber == 0:
		return "no map of owners is known"
	case !f.member:
		return "not in the map of owners"
	}
	return ""
}

// share is what a node owns. It is the loop's, but for follow.
type share struct {
	followedPartitions
	name    string
	path    string
	log     *slog.Logger
	longest time.Duration                   // the longest deadline of a class
	latest  [ownership.PartitionCount]int64 // Unix ns: the deadline of the last message taken on, by partition
	due     []byte                          // the map, while the folder could not take it
	listed  ownership.Set                   // the list of these was handed to the module,
	covered ownership.Set                   // and it has had it
	shown   bool
	follow  follower
}

// openShare begins with the kept map, and with the partitions of what the journal owes; nil without [ownership].
func openShare(cfg Config, j *journal, log *slog.Logger) *share {
	if cfg.Fleet.Ownership == nil {
		return nil
	}
	s := &share{name: cfg.owner(), path: filepath.Join(cfg.StateDir, mapName), log: log}
	for _, c := range cfg.Settings.Classes {
		s.longest = max(s.longest, c.Deadline)
	}
	switch m, err := readMap(s.path); {
	case err != nil:
		log.Warn("the kept map of owners is lost", "err", err)
	case m != nil:
		s.mapNumber = m.Number
		s.owned, s.member = m.PartitionsOf(s.name)
		log.Info("beginning with the kept map of owners", "map", s.mapNumber, "member", s.member, "partitions", s.owned.Len())
	}
	var owed lingeringPartitions
	for _, p := range j.live {
		if p.final != nil {
			continue
		}
		if s.took(p); !s.owned.Has(ownership.PartitionOf(p.dest)) {
			owed.set.Add(ownership.PartitionOf(p.dest))
			if p.deadline.After(owed.until) {
				owed.until = p.deadline
			}
		}
	}
	s.lingering = []lingeringPartitions{owed}
	s.follow = follower{name: s.name, log: log, nodes: max(cfg.Settings.FleetSize, 1), news: make(chan struct{}, 1), seen: -1, older: -1, unheard: unheardFor}
	s.follow.told.Store(-1)
	return s
}

// readMap reads a kept map; nil if there is none.
func readMap(path string) (*ownership.Map, error) {
	os.Remove(path + ".new") // of a process that ended while it wrote
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return ownership.Decode(raw)
}

// only is a list without the endpoints of partitions that are not followed.
func (s *share) only(l catalog.List) catalog.List {
	if s == nil {
		return l
	}
	set, _ := s.setAt(time.Now())
	var members []catalog.Endpoint
	for _, m := range l.Members {
		if set.Has(ownership.PartitionOf(m.Cell)) {
			members = append(members, m)
		}
	}
	l.Members = members
	return l
}

// took notes until when a message that was taken on has to be followed.
func (s *share) took(p *pendingMessage) {
	last := &s.latest[ownership.PartitionOf(p.dest)]
	*last = max(*last, p.deadline.UnixNano())
}

// keep writes the map into the folder, whole or not at all, if it is not there yet. Only who holds the folder's lock may.
func (s *share) keep() error {
	if s == nil || s.due == nil {
		return nil
	}
	next := s.path + ".new"
	err := os.WriteFile(next, s.due, 0o600)
	if err == nil {
		err = os.Rename(next, s.path)
	}
	if err != nil {
		os.Remove(next)
		if !s.unkept {
			s.log.Warn("the map of owners can't be kept", "map", s.mapNumber, "err", err)
		}
		s.unkept = true
		return fmt.Errorf("map of owners: %w", err)
	}
	s.due, s.unkept = nil, false
	return nil
}

// take makes a newer map the node's. From here on nothing is taken on for partitions that it has lost; they are followed
// until all that was taken on has had its time.
func (s *share) take(m *ownership.Map, now time.Time) {
	raw, err := m.Encode()
	if err != nil { // it was decoded a moment ago
		s.log.Error("the map of owners can't be kept", "map", m.Number, "err", err)
	}
	owned, member := m.PartitionsOf(s.name)
	followed, _ := s.setAt(now)
	gone := s.owned.Without(owned)
	soon, later := lingeringPartitions{until: now.Add(s.longest)}, lingeringPartitions{}
	for p := range gone.All() {
		if last := time.Unix(0, s.latest[p]); last.After(soon.until) { // a client may give more time than its class has
			later.set.Add(p)
			if last.After(later.until) {
				later.until = last
			}
		}
	}
	soon.set = gone.Without(later.set)
	var left []lingeringPartitions
	for _, l := range append(slices.Clone(s.lingering), soon, later) {
		if l.set = l.set.Without(owned); l.set.Len() > 0 && now.Before(l.until) {
			left = append(left, l)
		}
	}
	s.log.Info("a new map of owners", "map", m.Number, "before", s.mapNumber, "member", member, "partitions", owned.Len(),
		"gained", owned.Without(s.owned).Len(), "lost", gone.Len())
	s.mapNumber, s.member, s.owned, s.lingering, s.shown = m.Number, member, owned, left, false
	unlisted := owned.Without(followed)
	s.listed, s.covered = s.listed.Without(unlisted), s.covered.Without(unlisted)
	s.due = raw
}

// show brings the figures up to date after a step, by which the module has had the lists before it.
func (s *share) show(f *metrics) {
	s.covered = s.listed
	if !s.shown {
		now := s.followedPartitions
		f.ownership.Store(&now)
		s.shown = true
	}
}

// foreign refuses what is for a partition that is not the node's, and what is for a destination that it can't know yet.
// Another owner may take it on at once, and this one after a list.
func (n *Node) foreign(a arrival) bool {
	part := ownership.PartitionOf(a.dest)
	switch {
	case !n.own.owned.Has(part):
		n.figures.notOwned.Add(1)
	case n.own.covered.Has(part), n.sender.KnowsDestination(a.dest):
		return false
	}
	a.reply <- answer{refused: true, retryAfter: n.cfg.Settings.MaxRetryAfter}
	return true
}

// Events of the loop that are the share's.
type (
	shareEvent interface{ tell(s *share) }
	// newMap brings a map, or with none asks again for what is followed.
	newMap struct {
		m     *ownership.Map
		taken chan<- followedPartitions
	}
	// listedOf says of which partitions the list is that came before it.
	listedOf ownership.Set
)

func (e newMap) tell(s *share) {
	if e.m != nil && e.m.Number > s.mapNumber {
		s.take(e.m, time.Now())
	}
	s.keep() // what it could not do is logged, and asked for again
	e.taken <- s.followedPartitions
}

func (e listedOf) tell(s *share) { s.listed = ownership.Set(e) }

// follower watches the list of what the share follows, and keeps the map up to date. One goroutine at a time has it.
type follower struct {
	followedPartitions // as the loop had it last
	name               string
	log                *slog.Logger
	nodes              int
	unheard            time.Duration // unheardFor, but in tests

	told  atomic.Int64 // shared: number of the map that the list named last; -1: none did
	heard atomic.Int64 // shared: Unix ns of the last sign of life of a watch
	news  chan struct{}

	seen   int64     // of told
	older  int64     // than ours, and logged
	lookAt time.Time // for a map; zero: not
	pause  time.Duration
	keepAt time.Time // zero: it is kept
}

// watch is w.Watch; with [ownership] of what the node follows, which it keeps up to date.
func (n *Node) watch(ctx context.Context, w *registry.Watcher, tell func(registry.Update) error) {
	if n.own == nil {
		w.Watch(ctx, tell)
		return
	}
	f := &n.own.follow
	f.heard.Store(time.Now().UnixNano())
	f.hand(ctx, n, nil)
	if f.mapNumber == 0 {
		f.look(time.Now())
	}
	for ctx.Err() == nil {
		set, _ := f.setAt(time.Now())
		here, leave := context.WithCancel(ctx)
		var parts sync.WaitGroup
		var whole atomic.Bool
		one := *w
		parts.Go(func() {
			f.watch(here, &one, set, func(l registry.Update) error {
				err := tell(l)
				if err == nil && l.Complete {
					whole.Store(true)
					n.tell(ctx, listedOf(set))
				}
				return err
			})
		})
		f.await(ctx, n, w, set, &whole)
		// The next one begins when this one is over, so that its lists come after all of this one's.
		leave()
		parts.Wait()
	}
}

// watch follows the list of a set. Of no partition there is none: any one's tells of maps.
func (f *follower) watch(ctx context.Context, w *registry.Watcher, set ownership.Set, tell func(registry.Update) error) {
	asked, none, heard := set, set.Len() == 0, w.OnLine
	if none {
		asked.Add(int(crc32.ChecksumIEEE([]byte(f.name)) % ownership.PartitionCount))
	}
	w.Partitions = &asked
	w.OnLine = func() {
		f.heard.Store(time.Now().UnixNano())
		if heard != nil {
			heard()
		}
	}
	w.Watch(ctx, func(l registry.Update) error {
		if none {
			l.Members = nil
		}
		if f.told.Swap(l.Map) != l.Map {
			select {
			case f.news <- struct{}{}:
			default:
			}
		}
		return tell(l)
	})
}

// await keeps the map up to date until another set is to be watched, or the context ends.
func (f *follower) await(ctx context.Context, n *Node, w *registry.Watcher, set ownership.Set, whole *atomic.Bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		now := time.Now()
		f.heed(now)
		silent := time.Unix(0, f.heard.Load()).Add(f.unheard)
		switch {
		case !f.lookAt.IsZero() && !now.Before(f.lookAt):
			f.fetch(ctx, n, w)
			if whole.Load() { // a map that changes nothing of the set has lost nothing of what was listed either
				n.tell(ctx, listedOf(set))
			}
		case !f.keepAt.IsZero() && !now.Before(f.keepAt):
			f.hand(ctx, n, nil)
		case f.lookAt.IsZero() && !now.Before(silent):
			f.heard.Store(now.UnixNano())
			f.look(now)
		}
		now = time.Now()
		next, _ := f.setAt(now)
		if next != set {
			return
		}
		wake := f.wake(now)
		timer.Reset(wake.Sub(now))
		select {
		case <-timer.C:
		case <-f.news:
		case <-ctx.Done():
		}
	}
}

// wake is when await has something to do next, later than now once it has done what was due. While a map is looked for, silence is no news.
func (f *follower) wake(now time.Time) time.Time {
	_, wake := f.setAt(now)
	due := []time.Time{f.lookAt, f.keepAt}
	if f.lookAt.IsZero() {
		due = append(due, time.Unix(0, f.heard.Load()).Add(f.unheard))
	}
	for _, at := range due {
		if !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake
}

// heed takes note of which map the list names. One of a smaller number is a replica's that is behind, or a restored
// directory's: what a node has known is not undone by it.
func (f *follower) heed(now time.Time) {
	told := f.told.Load()
	if told == f.seen {
		return
	}
	f.seen = told
	switch {
	case told > f.mapNumber:
		f.look(now)
	case told < f.mapNumber && told != f.older:
		f.older = told
		f.log.Warn("the directory names an older map of owners; the newer one stays", "map", f.mapNumber, "directory", told)
	}
}

// look has a map looked for soon, but not by all nodes at once.
func (f *follower) look(now time.Time) {
	at := now.Add(rand.N(min(time.Duration(f.nodes)*fetchEach, fetchMost)))
	if f.lookAt.IsZero() || at.Before(f.lookAt) {
		f.lookAt = at
	}
}

// fetch looks for a map that is as new as what the list names, and hands it to the loop.
func (f *follower) fetch(ctx context.Context, n *Node, w *registry.Watcher) {
	within, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	m, err := registry.FetchMap(within, w.Client, w.Addresses, max(f.told.Load(), f.mapNumber, 1))
	switch {
	case ctx.Err() != nil:
		return // what is next begins by looking again
	case err != nil:
		if f.pause == 0 {
			f.log.Warn("no map of owners can be had; looking for it again and again", "map", f.mapNumber, "err", err)
		}
		f.pause = min(max(2*f.pause, fetchFirst), fetchLast)
		f.lookAt = time.Now().Add(f.pause/2 + rand.N(f.pause/2))
		return
	}
	f.pause, f.lookAt = 0, time.Time{}
	if m.Number > f.mapNumber {
		f.hand(ctx, n, m)
	}
}

// hand gives the loop a map, if there is one, and takes what follows from it.
func (f *follower) hand(ctx context.Context, n *Node, m *ownership.Map) {
	taken := make(chan followedPartitions, 1)
	n.tell(ctx, newMap{m, taken})
	select {
	case f.followedPartitions = <-taken:
	case <-ctx.Done():
		return
	}
	if f.keepAt = (time.Time{}); f.unkept {
		f.keepAt = time.Now().Add(keepAgain)
	}
}

// suits tells whether the node may be handed to a process that has this name in the map. One without, or of an older
// build, would take the list of a share for the whole, and call every other destination unknown.
func (s *share) suits(name string) error {
	if s == nil || s.name == name {
		return nil
	}
	return fmt.Errorf("the other process has the name %q in the map of owners, this one %q", name, s.name)
}

// Reload moves a running node to the addresses that its files name now. What can't change in a process's life stays.
func (n *Node) Reload(cfg Config) {
	was, is := n.cfg.Fleet.Ownership, cfg.Fleet.Ownership
	if (was == nil) != (is == nil) || was != nil && *was != *is {
		n.log.Warn("a change of ownership is ignored: it takes a new process", "name", n.cfg.owner(), "ignored", cfg.owner())
	}
	if was != nil && len(cfg.Fleet.Registry.Addresses) == 0 {
		n.log.Error("the old addresses stay: there is no directory among the new ones, and nothing else tells of partitions")
		return
	}
	n.MoveDiscovery(cfg.DiscoveryAddresses()...)
}

// listDir is where the list is kept. A share's is kept apart: a start without [ownership], also of an older build, would take
// it for the whole one, and go on from its revision.
func (c *Config) listDir() (string, error) {
	if c.Fleet.Ownership == nil {
		return c.StateDir, nil
	}
	dir := filepath.Join(c.StateDir, shareName)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", fmt.Errorf("kept list: %w", err)
	}
	return dir, nil
}

// shareKB is what of the lasting folder the map may take, of which there are two while it is replaced, and a kept list
// from before the node had a share.
func (c *Config) shareKB() int64 {
	if c.Fleet.Ownership == nil {
		return 0
	}
	return 2*catalog.MaxValueBytes>>10 + c.Fleet.Registry.KeepKB
}
