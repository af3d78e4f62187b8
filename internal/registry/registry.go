// Package registry is the client of a list service, either the platform's discovery or the directory of
// package directory. It follows the list at one of several addresses, never goes back to an older revision,
// and survives the loss of any server. The node uses it, as does everything else that needs the list.
package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
	"starlingusher/internal/sysretry"
)

// A node must know a change within 6 s of when the service had it and was reachable, whichever request
// failed. These times add up to less than that at any fleet size; see retryPolicy.
const (
	maxListBytes = 16 << 20
	// Servers send an empty line every 2 s. A watch without one is dead, even if its connection does not show
	// it.
	watchTimeout = 2500 * time.Millisecond
	// Servers respond to a new watch at once. A request without response headers within this time is retried;
	// some services take 2 s to answer 503.
	responseTimeout = 2200 * time.Millisecond
	// Another server that reports no history has this long to catch up with the revision known here. After
	// that its revisions are taken to count something else. Changes are expected within 4 s of a change of
	// servers.
	catchUpTime = 2 * time.Second
	// A service that cuts watches or refuses requests has more of them than it can serve, and most nodes of
	// the fleet then retry. All nodes together should send a few requests a second, as far as the 6 s allow.
	fleetRequestInterval = 200 * time.Millisecond // across all nodes
	maxPauseAfterCut     = 1500 * time.Millisecond
	maxPauseAfterTimeout = 500 * time.Millisecond // short, because the timeout has already cost time
	maxFirstRefusalPause = 2 * time.Second        // at most after one refusal, which may be transient
	maxRefusalPause      = 5 * time.Second        // after several refusals the service is overloaded
	maxRetryAfter        = 3 * time.Second        // upper limit of a service's Retry-After; up to a second is added at random
	minBackoff           = 50 * time.Millisecond
	maxBackoff           = time.Second
)

// Headers in which the directory reports more than the platform does. The history header also tells the two
// apart.
const (
	headerHistory    = "Registry-History"
	headerVouched    = "Registry-Vouched"
	headerPartitions = "Registry-Partitions" // number of partitions that a filtered answer is based on
)

var (
	// ErrStale reports a server that does not have a revision yet that another server has sent.
	ErrStale = errors.New("the list is older than the known one")
	// ErrRefused reports a server that had no capacity for the request.
	ErrRefused = errors.New("refused")
	// ErrNoPartitionFilter reports a server that would send the whole list instead of some partitions: a
	// replica of an older build, or one with another number of partitions.
	ErrNoPartitionFilter = errors.New("the server does not filter the list by partitions")
	// errSilent reports a watch on which a server sent nothing for longer than a live one does.
	errSilent = errors.New("no heartbeat")
)

// Position is the revision that a caller has, and the server and history that it belongs to.
type Position struct {
	History  int64 // 0: the server reports none
	Revision int64
	Server   string // its address
}

// Update is a list, or the changes to one. Map is the number of the newest ownership map that the server has,
// 0 if there is none or the whole list was requested. An update without members only reports a new revision
// or map number.
type Update struct {
	catalog.List
	History     int64  // as in Position
	Server      string // its address
	SourceAlive bool   // the directory's own source is alive; always true for the platform
}

// Position returns the position after the update.
func (u Update) Position() Position { return Position{u.History, u.Revision, u.Server} }

// Cursor prevents a caller from going back: it holds the position, and decides which updates are accepted. It
// is not safe for concurrent use.
type Cursor struct {
	position   Position
	graceUntil time.Time // until then, an older revision of another server only means that the server lags
	searching  bool      // the watch is trying servers and has received no update since it left the last one
}

// NewCursor returns a cursor at a position.
func NewCursor(at Position) *Cursor { return &Cursor{position: at} }

// Position returns the position of the last accepted update.
func (c *Cursor) Position() Position { return c.position }

// ResumeFrom returns the position from which to request changes of a server. Without a history, revisions of
// another server may count something else, and the position is 0.
func (c *Cursor) ResumeFrom(addr string) (history, revision int64) {
	if c.position.History > 0 || c.position.Server == "" || c.position.Server == addr {
		return c.position.History, c.position.Revision
	}
	return 0, 0
}

// ServerChanged notes that another server is asked from now on. A server that reports no history gets time to
// catch up.
func (c *Cursor) ServerChanged(now time.Time) { c.graceUntil = now.Add(catchUpTime) }

// tryNextServer is ServerChanged for a watch that tries server after server until one sends an update; the
// time to catch up starts only once.
func (c *Cursor) tryNextServer(now time.Time) {
	if !c.searching {
		c.searching = true
		c.ServerChanged(now)
	}
}

// Advance accepts an update, or returns ErrStale.
func (c *Cursor) Advance(update Update, now time.Time) error {
	switch {
	case update.History > c.position.History && c.position.History > 0: // restored from a backup; revisions start anew
		if !update.Complete {
			return fmt.Errorf("%w: changes of another history without its complete list", ErrStale)
		}
	case update.History > 0 && update.History < c.position.History, update.History == c.position.History && update.History > 0 && update.Revision < c.position.Revision:
		return fmt.Errorf("%w: position %d.%d after %d.%d", ErrStale, update.History, update.Revision, c.position.History, c.position.Revision)
	case update.History != c.position.History || update.History == 0: // only time can tell whether the revisions are comparable
		if update.Revision < c.position.Revision && now.Before(c.graceUntil) {
			return fmt.Errorf("%w: revision %d after %d", ErrStale, update.Revision, c.position.Revision)
		}
	}
	c.position, c.searching = update.Position(), false
	return nil
}

// Backoff is an exponential backoff. Half of each pause is random, so that callers do not retry in step.
type Backoff time.Duration

// Next returns the next pause, between 25 ms and 1 s.
func (b *Backoff) Next() time.Duration {
	*b = min(max(2**b, Backoff(minBackoff)), Backoff(maxBackoff))
	return time.Duration(*b)/2 + rand.N(time.Duration(*b)/2)
}

// retryPolicy chooses the pause between the end of a watch and the next request. The longest sequences,
// including the time for which a request may hang: timeout, pause, hanging request and first backoff take
// 5.25 s; timeout, pause, refusal and its pause 5 s; cut, pause, refusal and its pause 3.5 s. After a series
// of refusals the update arrives within 5 s of when the service has capacity again; after hanging or failed
// connections, within 3.2 s of when it is reachable.
type retryPolicy struct {
	fleetSize int
	backoff   Backoff
	refusals  int // consecutive
}

// pauseAfter returns the pause after a watch that ended with err. gotUpdate tells whether it had delivered an
// update.
func (p *retryPolicy) pauseAfter(err error, gotUpdate bool) time.Duration {
	interval := time.Duration(p.fleetSize) * fleetRequestInterval
	var retry *retryAfterError
	switch {
	case errors.As(err, &retry):
		return retry.after + rand.N(time.Second) // the header has whole seconds only
	case errors.Is(err, ErrRefused):
		p.refusals++
		limit := min(2*interval, maxFirstRefusalPause)
		if p.refusals > 1 {
			limit = min(interval<<min(p.refusals, 8), maxRefusalPause)
		}
		return limit/2 + rand.N(limit/2)
	case gotUpdate && errors.Is(err, errSilent):
		return rand.N(min(interval, maxPauseAfterTimeout))
	case gotUpdate: // the watch was cut, probably together with those of other nodes
		return rand.N(min(interval, maxPauseAfterCut))
	}
	return p.backoff.Next()
}

// reset clears the failure counts.
func (p *retryPolicy) reset() { p.backoff, p.refusals = 0, 0 }

// Watcher follows the list of endpoints.
type Watcher struct {
	Addresses []string // at least one; all serve the same list
	FleetSize int      // number of watchers in total
	Client    *http.Client
	Log       *slog.Logger
	Cursor    *Cursor
	OnLine    func() // called for each line that a server sends, including empty ones; may be nil

	// Partitions selects the partitions to follow; nil: the whole list. It must not be modified while Watch
	// runs; to follow others, call Watch again. The first list of each call is complete, later ones continue
	// from Cursor. Servers reject an empty set; a node that owns no partition follows an arbitrary one, for
	// the map number.
	Partitions *ownership.Set
}

// Watch follows the list until the context ends, and passes each update to handle. If handle returns an
// error, Watch ends that watch and requests the update again. It starts at a random address, and moves to the
// next one on failure.
func (w *Watcher) Watch(ctx context.Context, handle func(Update) error) {
	pause := retryPolicy{fleetSize: w.FleetSize}
	next := 0
	if len(w.Addresses) > 1 {
		next = rand.IntN(len(w.Addresses))
	}
	failures := 0                       // consecutive addresses
	unfiltered := 0                     // of those, the ones with ErrNoPartitionFilter
	needComplete := w.Partitions != nil // what the caller has may be of other partitions
	noFilter := map[string]bool{}       // addresses that failed with ErrNoPartitionFilter
	for ctx.Err() == nil {
		firstUpdate := true
		addr := w.Addresses[next%len(w.Addresses)]
		history, after := w.Cursor.ResumeFrom(addr)
		if needComplete {
			after = 0
		}
		err := w.watchOnce(ctx, addr, history, after, func(update Update) error {
			if needComplete && !update.Complete {
				return errors.New("watch: received changes instead of the complete list")
			}
			if err := w.Cursor.Advance(update, time.Now()); err != nil {
				return err
			}
			if firstUpdate {
				w.Log.Info("watching", "discovery", addr, "after", after, "revision", update.Revision, "complete", update.Complete, "members", len(update.Members))
			}
			if err := handle(update); err != nil {
				needComplete = w.Partitions != nil // the caller lacks these changes
				return err
			}
			pause.reset()
			firstUpdate, failures, unfiltered, needComplete = false, 0, 0, false
			return nil
		})
		if ctx.Err() != nil {
			return
		}
		w.Log.Debug("watch ended", "discovery", addr, "err", err)
		lacksFilter := errors.Is(err, ErrNoPartitionFilter)
		if lacksFilter {
			unfiltered++
		}
		if lacksFilter != noFilter[addr] && (lacksFilter || !firstUpdate) {
			if noFilter[addr] = lacksFilter; lacksFilter {
				w.Log.Warn("skipping the server: it would send the whole list instead of some partitions", "discovery", addr, "err", err)
			} else {
				w.Log.Info("the server now filters the list by partitions", "discovery", addr)
			}
		}
		wait := pause.pauseAfter(err, !firstUpdate)
		if failures++; failures < len(w.Addresses) { // the next address may work, so try it soon
			wait = rand.N(minBackoff)
		} else {
			if unfiltered == len(w.Addresses) { // only a newer build helps, and each request costs part of the whole list
				wait = maxRefusalPause/2 + rand.N(maxRefusalPause/2)
			}
			failures, unfiltered = 0, 0
		}
		if len(w.Addresses) > 1 {
			next++
			w.Cursor.tryNextServer(time.Now())
		}
		sysretry.Sleep(ctx, wait)
	}
}

// retryAfterError is a refusal with a Retry-After.
type retryAfterError struct {
	after time.Duration
	error
}

func (e *retryAfterError) Unwrap() error { return e.error }

// refusalError converts a refusal into an error. Only a directory's Retry-After is respected, not the
// platform's.
func refusalError(resp *http.Response) error {
	err := fmt.Errorf("watch: %w: %s", ErrRefused, resp.Status)
	seconds, parseErr := strconv.Atoi(resp.Header.Get("Retry-After"))
	if parseErr != nil || seconds < 0 || resp.Header.Get(headerHistory) == "" {
		return err
	}
	return &retryAfterError{min(time.Duration(seconds)*time.Second, maxRetryAfter), err}
}

// watchOnce runs one watch to its end. It gives up on a silent watch, whose server's machine may be gone.
func (w *Watcher) watchOnce(ctx context.Context, addr string, history, after int64, handle func(Update) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(responseTimeout, func() { cancel(errSilent) })
	defer timer.Stop()
	err := w.readUpdates(ctx, addr, history, after, func() { timer.Reset(watchTimeout) }, handle)
	if errors.Is(context.Cause(ctx), errSilent) {
		err = fmt.Errorf("watch: %w: %w", errSilent, err)
	}
	return err
}

// readUpdates reads the lists of one watch. It calls alive for each sign that the server is alive.
func (w *Watcher) readUpdates(ctx context.Context, addr string, history, after int64, alive func(), handle func(Update) error) error {
	url := fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", addr, after)
	if history > 0 {
		url += fmt.Sprintf("&history=%d", history)
	}
	if w.Partitions != nil {
		url += "&partitions=" + w.Partitions.String()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := w.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		return refusalError(resp)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: %s", resp.Status)
	}
	if partitions := resp.Header.Get(headerPartitions); w.Partitions != nil && partitions != strconv.Itoa(ownership.PartitionCount) {
		return fmt.Errorf("watch: %w: header %s is %.40q", ErrNoPartitionFilter, headerPartitions, partitions)
	}
	update := Update{Server: addr, SourceAlive: resp.Header.Get(headerVouched) != "no"}
	if h := resp.Header.Get(headerHistory); h != "" {
		if update.History, err = strconv.ParseInt(h, 10, 64); err != nil || update.History <= 0 {
			return fmt.Errorf("watch: invalid history number %.40q", h)
		}
	}
	alive()
	onLine := func() {
		alive()
		if w.OnLine != nil {
			w.OnLine()
		}
	}
	body := &listReader{r: resp.Body, onEmptyLine: onLine}
	decoder := json.NewDecoder(body)
	for {
		body.remaining, body.betweenLists = maxListBytes, isBlank(decoder.Buffered())
		update.List = catalog.List{}
		if err := decoder.Decode(&update.List); err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		onLine()
		if err := handle(update); err != nil {
			return err
		}
	}
}

// listReader reads the body of a watch. A list may span several lines, so only lines between two lists count
// as a heartbeat. A list that arrives slowly is no sign of life until it is complete.
type listReader struct {
	r            io.Reader
	onEmptyLine  func() // called for empty lines
	betweenLists bool   // the previous list has ended and the next one has not begun
	remaining    int    // bytes that the next list may still use
}

func (l *listReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, fmt.Errorf("the list exceeds %d bytes", maxListBytes)
	}
	for {
		n, err := l.r.Read(p[:min(len(p), l.remaining)])
		if l.betweenLists = l.betweenLists && len(bytes.TrimSpace(p[:n])) == 0; !l.betweenLists {
			l.remaining -= n
			return n, err
		}
		if bytes.IndexByte(p[:n], '\n') >= 0 {
			l.onEmptyLine()
		}
		if err != nil {
			return 0, err
		} // not passed on: a decoder buffers what precedes a list until the list arrives
	}
}

// isBlank reports whether a decoder has only empty lines left in its buffer.
func isBlank(r io.Reader) bool {
	rest, err := io.ReadAll(r) // reads from memory
	return err == nil && len(bytes.TrimSpace(rest)) == 0
}
