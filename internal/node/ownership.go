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

// With [ownership] a node watches the lists of its own partitions only, and accepts messages for these. The
// loop owns the ownershipState. The follower, a task of followDiscovery, fetches maps and watches the lists
// of the followed partitions. Maps and lists, and the partitions of each list, reach the loop as events in
// their order, so that no list is taken for one of other partitions.

const (
	mapName        = "map.cbor"
	listFolderName = "share" // the folder of the cached list: a start without [ownership] must not take it for the whole list

	defaultOwners = 3
	maxOwners     = 5

	// A new map is announced to all nodes at once. They fetch its 50 KB or so spread over some milliseconds
	// for each node.
	fetchSpreadPerNode = 2 * time.Millisecond
	maxFetchSpread     = 2 * time.Second
	fetchTimeout       = 7 * time.Second        // of one fetch, from all addresses
	minFetchPause      = 250 * time.Millisecond // pause after a failed fetch, doubled each time,
	maxFetchPause      = 8 * time.Second        // and at most
	maxWatchSilence    = time.Minute            // the map is fetched after so long without a sign of life from a watch: the replicas may be too old to announce maps
	mapSavePause       = time.Second            // pause after a map that could not be saved
)

// Ownership makes a node one of the owners of a part of the destinations.
type Ownership struct {
	Name   string `toml:"name"`   // of the node in the map of owners
	Owners int    `toml:"owners"` // of a partition, who share the limits of its destinations; 0 means 3
}

// check reports invalid values, and sets defaults.
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

// moduleSettings returns the module's settings. With [ownership] the owners of a destination are the whole
// fleet that sends to it. They see a part of all traffic, and so of what all tenants may send: from that the
// module calculates its share of a limit.
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

// owner returns the node's name in the map of owners; it is empty without [ownership].
func (c *Config) owner() string {
	if c.Fleet.Ownership == nil {
		return ""
	}
	return c.Fleet.Ownership.Name
}

// followedPartitions are the partitions that a node owns and those that linger. A value is not changed once
// it has been handed out.
type followedPartitions struct {
	mapNumber  int64 // 0 for no map
	inMap      bool  // the map names this node
	owned      ownership.Set
	lingering  []lingeringPartitions
	mapUnsaved bool // the map could not be saved
}

// lingeringPartitions are no longer owned, but still followed for the messages that were accepted for them.
type lingeringPartitions struct {
	set   ownership.Set
	until time.Time
}

// setAt returns the partitions followed at a time, and when the next of them end; zero for never.
func (f *followedPartitions) setAt(now time.Time) (set ownership.Set, shrinksAt time.Time) {
	set = f.owned
	for _, l := range f.lingering {
		if now.Before(l.until) {
			set = set.Union(l.set)
			if shrinksAt.IsZero() || l.until.Before(shrinksAt) {
				shrinksAt = l.until
			}
		}
	}
	return set, shrinksAt
}

// notReadyReason tells why the node does not serve; it is empty if it does.
func (f *followedPartitions) notReadyReason() string {
	switch {
	case f.mapNumber == 0:
		return "no map of owners is known"
	case !f.inMap:
		return "not in the map of owners"
	}
	return ""
}

// ownershipState is what a node owns. The loop owns all of it but the follower.
type ownershipState struct {
	followedPartitions
	name         string
	path         string
	log          *slog.Logger
	maxDeadline  time.Duration // the longest deadline of a class
	clock        timestampClock
	lastDeadline [ownership.PartitionCount]int64 // the deadline of the last message accepted, by partition; a timestamp as Unix time in nanoseconds
	unsavedMap   []byte                          // the encoded map, until it is saved
	listedSet    ownership.Set                   // the list of these was passed to the module
	appliedSet   ownership.Set                   // the module has applied the list of these
	published    bool
	follower     follower
}

// openOwnership starts with the saved map, and with the partitions of open messages in the journal. It
// returns nil without [ownership].
func openOwnership(cfg Config, j *journal, log *slog.Logger) *ownershipState {
	if cfg.Fleet.Ownership == nil {
		return nil
	}
	s := &ownershipState{name: cfg.owner(), path: filepath.Join(cfg.StateDir, mapName), log: log, clock: j.clock}
	for _, c := range cfg.Settings.Classes {
		s.maxDeadline = max(s.maxDeadline, c.Deadline)
	}
	switch m, err := readSavedMap(s.path); {
	case err != nil:
		log.Warn("the saved map of owners is unreadable", "err", err)
	case m != nil:
		s.mapNumber = m.Number
		s.owned, s.inMap = m.PartitionsOf(s.name)
		log.Info("starting with the saved map of owners", "map", s.mapNumber, "member", s.inMap, "partitions", s.owned.Len())
	}
	var open lingeringPartitions
	for _, m := range j.live {
		if m.final != nil {
			continue
		}
		if s.trackDeadline(m); !s.owned.Has(ownership.PartitionOf(m.dest)) {
			open.set.Add(ownership.PartitionOf(m.dest))
			if deadline := j.clock.time(m.deadline); deadline.After(open.until) {
				open.until = deadline
			}
		}
	}
	s.lingering = []lingeringPartitions{open}
	s.follower = follower{name: s.name, log: log, nodes: max(cfg.Settings.FleetSize, 1), mapNamed: make(chan struct{}, 1), checkedMap: -1, loggedMap: -1, maxSilence: maxWatchSilence}
	s.follower.namedMap.Store(-1)
	return s
}

// readSavedMap returns nil if no map is saved.
func readSavedMap(path string) (*ownership.Map, error) {
	os.Remove(path + ".new") // left by a process that ended while it wrote
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return ownership.Decode(raw)
}

// filterList removes the endpoints of partitions that are not followed.
func (s *ownershipState) filterList(l catalog.List) catalog.List {
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

// trackDeadline notes until when the partition of an accepted message has to be followed.
func (s *ownershipState) trackDeadline(m *pendingMessage) {
	last := &s.lastDeadline[ownership.PartitionOf(m.dest)]
	*last = max(*last, m.deadline.UnixNano())
}

// saveMap writes the map atomically, if it is not saved yet. Only the holder of the folder's lock may call
// it.
func (s *ownershipState) saveMap() error {
	if s == nil || s.unsavedMap == nil {
		return nil
	}
	next := s.path + ".new"
	err := os.WriteFile(next, s.unsavedMap, 0o600)
	if err == nil {
		err = os.Rename(next, s.path)
	}
	if err != nil {
		os.Remove(next)
		if !s.mapUnsaved {
			s.log.Warn("the map of owners can't be saved", "map", s.mapNumber, "err", err)
		}
		s.mapUnsaved = true
		return fmt.Errorf("map of owners: %w", err)
	}
	s.unsavedMap, s.mapUnsaved = nil, false
	return nil
}

// applyMap makes a newer map the node's. From here on nothing is accepted for partitions that it has lost.
// They are followed until the deadlines of all accepted messages have passed.
func (s *ownershipState) applyMap(m *ownership.Map, now time.Time) {
	raw, err := m.Encode()
	if err != nil { // the map was decoded a moment ago
		s.log.Error("the map of owners can't be saved", "map", m.Number, "err", err)
	}
	owned, member := m.PartitionsOf(s.name)
	followed, _ := s.setAt(now)
	lost := s.owned.Without(owned)
	byClass, byMessage := lingeringPartitions{until: now.Add(s.maxDeadline)}, lingeringPartitions{}
	for p := range lost.All() {
		if last := s.clock.time(time.Unix(0, s.lastDeadline[p])); last.After(byClass.until) { // a client may set a longer deadline than its class has
			byMessage.set.Add(p)
			if last.After(byMessage.until) {
				byMessage.until = last
			}
		}
	}
	byClass.set = lost.Without(byMessage.set)
	var lingering []lingeringPartitions
	for _, l := range append(slices.Clone(s.lingering), byClass, byMessage) {
		if l.set = l.set.Without(owned); l.set.Len() > 0 && now.Before(l.until) {
			lingering = append(lingering, l)
		}
	}
	s.log.Info("applied a new map of owners", "map", m.Number, "before", s.mapNumber, "member", member, "partitions", owned.Len(),
		"gained", owned.Without(s.owned).Len(), "lost", lost.Len())
	s.mapNumber, s.inMap, s.owned, s.lingering, s.published = m.Number, member, owned, lingering, false
	added := owned.Without(followed)
	s.listedSet, s.appliedSet = s.listedSet.Without(added), s.appliedSet.Without(added)
	s.unsavedMap = raw
}

// updateMetrics publishes the metrics after a step, in which the module has applied the lists before it.
func (s *ownershipState) updateMetrics(m *metrics) {
	s.appliedSet = s.listedSet
	if !s.published {
		now := s.followedPartitions
		m.ownership.Store(&now)
		s.published = true
	}
}

// refuseForeign refuses messages for partitions that the node does not own, and for destinations that it
// can't know yet. Another owner may accept such a message at once, or this one after the next list.
func (n *Node) refuseForeign(a arrival) bool {
	partition := ownership.PartitionOf(a.dest)
	switch {
	case !n.ownership.owned.Has(partition):
		n.metrics.notOwned.Add(1)
	case n.ownership.appliedSet.Has(partition), n.sender.KnowsDestination(a.dest):
		return false
	}
	a.reply <- answer{refused: true, retryAfter: n.cfg.Settings.MaxRetryAfter}
	return true
}

// Events of the loop for the ownershipState.
type (
	ownershipEvent interface{ apply(s *ownershipState) }
	// mapEvent brings a map; without one it asks again for the followed partitions.
	mapEvent struct {
		newMap *ownership.Map
		reply  chan<- followedPartitions
	}
	// listedPartitions are the partitions of the list before it.
	listedPartitions ownership.Set
)

func (e mapEvent) apply(s *ownershipState) {
	if e.newMap != nil && e.newMap.Number > s.mapNumber {
		s.applyMap(e.newMap, time.Now())
	}
	s.saveMap() // an error is logged, and the follower tries again
	e.reply <- s.followedPartitions
}

func (e listedPartitions) apply(s *ownershipState) { s.listedSet = ownership.Set(e) }

// follower watches the lists of the followed partitions, and keeps the map up to date. One goroutine at a
// time uses it.
type follower struct {
	followedPartitions // as last received from the loop
	name               string
	log                *slog.Logger
	nodes              int
	maxSilence         time.Duration // maxWatchSilence, except in tests

	namedMap atomic.Int64 // shared: number of the map that the list named last; -1 for none
	heardAt  atomicTime   // shared: the last sign of life of a watch
	mapNamed chan struct{}

	checkedMap int64     // the last value of namedMap that was checked
	loggedMap  int64     // the last older number that was logged
	fetchAt    time.Time // when to fetch a map; zero for never
	fetchPause time.Duration
	saveAt     time.Time // when to save the map; zero if it is saved
}

// watchList is w.Watch; with [ownership] it watches the followed partitions, and keeps these up to date.
func (n *Node) watchList(ctx context.Context, w *registry.Watcher, tell func(registry.Update) error) {
	if n.ownership == nil {
		w.Watch(ctx, tell)
		return
	}
	f := &n.ownership.follower
	f.heardAt.Store(time.Now())
	f.passToLoop(ctx, n, nil)
	if f.mapNumber == 0 {
		f.scheduleFetch(time.Now())
	}
	for ctx.Err() == nil {
		set, _ := f.setAt(time.Now())
		watchCtx, stopWatch := context.WithCancel(ctx)
		var tasks sync.WaitGroup
		var complete atomic.Bool
		watcher := *w
		tasks.Go(func() {
			f.watch(watchCtx, &watcher, set, func(l registry.Update) error {
				err := tell(l)
				if err == nil && l.Complete {
					complete.Store(true)
					n.sendEvent(ctx, listedPartitions(set))
				}
				return err
			})
		})
		f.maintainMap(ctx, n, w, set, &complete)
		// The next watch begins after this one has ended, so that its lists come after all of this one's.
		stopWatch()
		tasks.Wait()
	}
}

// watch watches the list of a set. For an empty set it watches any partition, only to learn of new maps.
func (f *follower) watch(ctx context.Context, w *registry.Watcher, set ownership.Set, tell func(registry.Update) error) {
	requested, empty, onHeard := set, set.Len() == 0, w.OnLine
	if empty {
		requested.Add(int(crc32.ChecksumIEEE([]byte(f.name)) % ownership.PartitionCount))
	}
	w.Partitions = &requested
	w.OnLine = func() {
		f.heardAt.Store(time.Now())
		if onHeard != nil {
			onHeard()
		}
	}
	w.Watch(ctx, func(l registry.Update) error {
		if empty {
			l.Members = nil
		}
		if f.namedMap.Swap(l.Map) != l.Map {
			select {
			case f.mapNamed <- struct{}{}:
			default:
			}
		}
		return tell(l)
	})
}

// maintainMap keeps the map up to date until another set has to be watched, or the context ends.
func (f *follower) maintainMap(ctx context.Context, n *Node, w *registry.Watcher, set ownership.Set, complete *atomic.Bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		now := time.Now()
		f.checkNamedMap(now)
		silentAt := f.heardAt.Load().Add(f.maxSilence)
		switch {
		case !f.fetchAt.IsZero() && !now.Before(f.fetchAt):
			f.fetchMap(ctx, n, w)
			if complete.Load() { // a map that leaves the set as it is keeps all that was listed
				n.sendEvent(ctx, listedPartitions(set))
			}
		case !f.saveAt.IsZero() && !now.Before(f.saveAt):
			f.passToLoop(ctx, n, nil)
		case f.fetchAt.IsZero() && !now.Before(silentAt):
			f.heardAt.Store(now)
			f.scheduleFetch(now)
		}
		now = time.Now()
		next, _ := f.setAt(now)
		if next != set {
			return
		}
		wake := f.nextWake(now)
		timer.Reset(wake.Sub(now))
		select {
		case <-timer.C:
		case <-f.mapNamed:
		case <-ctx.Done():
		}
	}
}

// nextWake returns when maintainMap has something to do next, later than now once it has done what was due.
// While a fetch is scheduled, silence of the watch needs no fetch of its own.
func (f *follower) nextWake(now time.Time) time.Time {
	_, wake := f.setAt(now)
	due := []time.Time{f.fetchAt, f.saveAt}
	if f.fetchAt.IsZero() {
		due = append(due, f.heardAt.Load().Add(f.maxSilence))
	}
	for _, at := range due {
		if !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake
}

// checkNamedMap looks at the map number that the list names. A smaller number comes from a replica that is
// behind, or from a restored directory; it does not replace a newer map.
func (f *follower) checkNamedMap(now time.Time) {
	named := f.namedMap.Load()
	if named == f.checkedMap {
		return
	}
	f.checkedMap = named
	switch {
	case named > f.mapNumber:
		f.scheduleFetch(now)
	case named < f.mapNumber && named != f.loggedMap:
		f.loggedMap = named
		f.log.Warn("the directory names an older map of owners; the newer one stays", "map", f.mapNumber, "directory", named)
	}
}

// scheduleFetch has a map fetched soon, but not by all nodes at once.
func (f *follower) scheduleFetch(now time.Time) {
	at := now.Add(rand.N(min(time.Duration(f.nodes)*fetchSpreadPerNode, maxFetchSpread)))
	if f.fetchAt.IsZero() || at.Before(f.fetchAt) {
		f.fetchAt = at
	}
}

// fetchMap fetches a map at least as new as the one that the list names, and passes it to the loop.
func (f *follower) fetchMap(ctx context.Context, n *Node, w *registry.Watcher) {
	fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	m, err := registry.FetchMap(fetchCtx, w.Client, w.Addresses, max(f.namedMap.Load(), f.mapNumber, 1))
	switch {
	case ctx.Err() != nil:
		return // the next watch starts with another fetch
	case err != nil:
		if f.fetchPause == 0 {
			f.log.Warn("the map of owners can't be fetched; retrying", "map", f.mapNumber, "err", err)
		}
		f.fetchPause = min(max(2*f.fetchPause, minFetchPause), maxFetchPause)
		f.fetchAt = time.Now().Add(f.fetchPause/2 + rand.N(f.fetchPause/2))
		return
	}
	f.fetchPause, f.fetchAt = 0, time.Time{}
	if m.Number > f.mapNumber {
		f.passToLoop(ctx, n, m)
	}
}

// passToLoop passes the loop a map, if m is not nil, and receives the partitions to follow.
func (f *follower) passToLoop(ctx context.Context, n *Node, m *ownership.Map) {
	reply := make(chan followedPartitions, 1)
	n.sendEvent(ctx, mapEvent{m, reply})
	select {
	case f.followedPartitions = <-reply:
	case <-ctx.Done():
		return
	}
	if f.saveAt = (time.Time{}); f.mapUnsaved {
		f.saveAt = time.Now().Add(mapSavePause)
	}
}

// checkSuccessor reports an error unless the node may be handed to a process with this name in the map of
// owners. A process without a name, or of an older build, would take the list of some partitions for the
// whole list, and treat every other destination as unknown.
func (s *ownershipState) checkSuccessor(name string) error {
	if s == nil || s.name == name {
		return nil
	}
	return fmt.Errorf("the other process has the name %q in the map of owners, this one %q", name, s.name)
}

// Reload moves a running node to the addresses in its reread files. Settings that can't change while a
// process runs stay.
func (n *Node) Reload(cfg Config) {
	current, next := n.cfg.Fleet.Ownership, cfg.Fleet.Ownership
	if (current == nil) != (next == nil) || current != nil && *current != *next {
		n.log.Warn("a change of ownership is ignored until the process is replaced", "name", n.cfg.owner(), "ignored", cfg.owner())
	}
	if current != nil && len(cfg.Fleet.Registry.Addresses) == 0 {
		n.log.Error("the old addresses stay: the new configuration names no directory, which ownership needs")
		return
	}
	n.MoveDiscovery(cfg.DiscoveryAddresses()...)
}

// listFolder returns where the list is cached. The list of some partitions has its own folder: a start
// without [ownership], also of an older build, would take it for the whole list, and continue from its
// revision.
func (c *Config) listFolder() (string, error) {
	if c.Fleet.Ownership == nil {
		return c.StateDir, nil
	}
	dir := filepath.Join(c.StateDir, listFolderName)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", fmt.Errorf("list cache: %w", err)
	}
	return dir, nil
}

// ownershipKB is the part of the state folder for the map, of which there are two while it is replaced, and
// for a cached list from before the node had [ownership].
func (c *Config) ownershipKB() int64 {
	if c.Fleet.Ownership == nil {
		return 0
	}
	return 2*catalog.MaxValueBytes>>10 + c.Fleet.Registry.KeepKB
}
