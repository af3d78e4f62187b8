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
)

// A node must know a change within 6 s of when the service had it and was reachable, whichever request
// failed. These times add up to less than that at any fleet size; see retryPolicy.
const (
	maxList = 16 << 20
	// Servers send an empty line every 2 s. A watch without one is dead, even if its connection does not show
	// it.
	watchSilence = 2500 * time.Millisecond
	// Servers respond to a new watch at once. A request without response headers within this time is retried;
	// some services take 2 s to answer 503.
	answerTime = 2200 * time.Millisecond
	// Another server that reports no history has this long to catch up with the revision known here. After
	// that its revisions are taken to count something else. Changes are expected within 4 s of a change of
	// servers.
	catchUpTime = 2 * time.Second
	// A service that cuts watches or refuses requests has more of them than it can serve, and most nodes of
	// the fleet then retry. All nodes together should send a few requests a second, as far as the 6 s allow.
	askEvery     = 200 * time.Millisecond // across all nodes
	afterCut     = 1500 * time.Millisecond
	afterSilence = 500 * time.Millisecond // short, because the timeout has already cost time
	firstRefusal = 2 * time.Second        // at most after one refusal, which may be transient
	nextRefusal  = 5 * time.Second        // after several refusals the service is overloaded
	longestBack  = 3 * time.Second        // upper limit of a service's Retry-After; up to a second is added at random
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = time.Second
)

// Headers in which the directory reports more than the platform does. The history header also tells the two
// apart.
const (
	historyOf    = "Registry-History"
	vouchedOf    = "Registry-Vouched"
	partitionsOf = "Registry-Partitions" // number of partitions that a filtered answer is based on
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

// Update is a list, or the changes to one. Map is the number of the newest partition map that the server has,
// 0 if there is none or the whole list was requested. An update without members only reports a new revision
// or map number.
type Update struct {
	catalog.List
	History     int64  // as in Position
	Server      string // its address
	SourceAlive bool   // the directory's own source is alive; always true for the platform
}

// Position returns the position after the update.
func (n Update) Position() Position { return Position{n.History, n.Revision, n.Server} }

// Cursor prevents a caller from going back: it holds the position, and decides which updates are accepted. It
// is not safe for concurrent use.
type Cursor struct {
	at    Position
	until time.Time // until then, an older revision of another server only means that the server lags
	left  bool      // the watch is trying servers and has received no update since it left the last one
}

// NewCursor returns a cursor at a position.
func NewCursor(at Position) *Cursor { return &Cursor{at: at} }

// Position returns the position of the last accepted update.
func (t *Cursor) Position() Position { return t.at }

// ResumeFrom returns the position from which to request changes of a server. Without a history, revisions of
// another server may count something else, and the position is 0.
func (t *Cursor) ResumeFrom(addr string) (history, revision int64) {
	if t.at.History > 0 || t.at.Server == "" || t.at.Server == addr {
		return t.at.History, t.at.Revision
	}
	return 0, 0
}

// ServerChanged notes that another server is asked from now on. A server that reports no history gets time to
// catch up.
func (t *Cursor) ServerChanged(now time.Time) { t.until = now.Add(catchUpTime) }

// tryNextServer is ServerChanged for a watch that tries server after server until one sends an update; the
// time to catch up starts only once.
func (t *Cursor) tryNext(now time.Time) {
	if !t.left {
		t.left = true
		t.ServerChanged(now)
	}
}

// Advance accepts an update, or returns ErrStale.
func (t *Cursor) Advance(n Update, now time.Time) error {
	switch {
	case n.History > t.at.History && t.at.History > 0: // restored from a backup; revisions start anew
		if !n.Complete {
			return fmt.Errorf("%w: changes of another history without its complete list", ErrStale)
		}
	case n.History > 0 && n.History < t.at.History, n.History == t.at.History && n.History > 0 && n.Revision < t.at.Revision:
		return fmt.Errorf("%w: position %d.%d after %d.%d", ErrStale, n.History, n.Revision, t.at.History, t.at.Revision)
	case n.History != t.at.History || n.History == 0: // only time can tell whether the revisions are comparable
		if n.Revision < t.at.Revision && now.Before(t.until) {
			return fmt.Errorf("%w: revision %d after %d", ErrStale, n.Revision, t.at.Revision)
		}
	}
	t.at, t.left = n.Position(), false
	return nil
}

// Backoff is an exponential backoff. Half of each pause is random, so that callers do not retry in step.
type Backoff time.Duration

// Next returns the next pause, between 25 ms and 1 s.
func (b *Backoff) Next() time.Duration {
	*b = min(max(2**b, Backoff(firstBackoff)), Backoff(lastBackoff))
	return time.Duration(*b)/2 + rand.N(time.Duration(*b)/2)
}

// retryPolicy chooses the pause between the end of a watch and the next request. The longest sequences,
// including the time for which a request may hang: timeout, pause, hanging request and first backoff take
// 5.25 s; timeout, pause, refusal and its pause 5 s; cut, pause, refusal and its pause 3.5 s. After a series
// of refusals the update arrives within 5 s of when the service has capacity again; after hanging or failed
// connections, within 3.2 s of when it is reachable.
type pauses struct {
	nodes    int
	failed   Backoff
	refusals int // consecutive
}

// pauseAfter returns the pause after a watch that ended with err. gotUpdate tells whether it had delivered an
// update.
func (p *pauses) after(err error, told bool) time.Duration {
	apart := time.Duration(p.nodes) * askEvery
	var back *backError
	switch {
	case errors.As(err, &back):
		return back.after + rand.N(time.Second) // the header has whole seconds only
	case errors.Is(err, ErrRefused):
		p.refusals++
		most := min(2*apart, firstRefusal)
		if p.refusals > 1 {
			most = min(apart<<min(p.refusals, 8), nextRefusal)
		}
		return most/2 + rand.N(most/2)
	case told && errors.Is(err, errSilent):
		return rand.N(min(apart, afterSilence))
	case told: // the watch was cut, probably together with those of other nodes
		return rand.N(min(apart, afterCut))
	}
	return p.failed.Next()
}

// reset clears the failure counts.
func (p *pauses) news() { p.failed, p.refusals = 0, 0 }

// Sleep waits, and reports whether the context is still alive afterwards.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

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
func (w *Watcher) Watch(ctx context.Context, tell func(Update) error) {
	pause := pauses{nodes: w.FleetSize}
	n := 0
	if len(w.Addresses) > 1 {
		n = rand.IntN(len(w.Addresses))
	}
	failed := 0                  // consecutive addresses
	unable := 0                  // of those, the ones with ErrNoPartitionFilter
	whole := w.Partitions != nil // what the caller has may be of other partitions
	cannot := map[string]bool{}  // addresses that failed with ErrNoPartitionFilter
	for ctx.Err() == nil {
		first := true
		addr := w.Addresses[n%len(w.Addresses)]
		history, after := w.Cursor.ResumeFrom(addr)
		if whole {
			after = 0
		}
		err := w.once(ctx, addr, history, after, func(l Update) error {
			if whole && !l.Complete {
				return errors.New("watch: received changes instead of the complete list")
			}
			if err := w.Cursor.Advance(l, time.Now()); err != nil {
				return err
			}
			if first {
				w.Log.Info("watching", "discovery", addr, "after", after, "revision", l.Revision, "complete", l.Complete, "members", len(l.Members))
			}
			if err := tell(l); err != nil {
				whole = w.Partitions != nil // the caller lacks these changes
				return err
			}
			pause.news()
			first, failed, unable, whole = false, 0, 0, false
			return nil
		})
		if ctx.Err() != nil {
			return
		}
		w.Log.Debug("watch ended", "discovery", addr, "err", err)
		is := errors.Is(err, ErrNoPartitionFilter)
		if is {
			unable++
		}
		if is != cannot[addr] && (is || !first) {
			if cannot[addr] = is; is {
				w.Log.Warn("skipping the server: it would send the whole list instead of some partitions", "discovery", addr, "err", err)
			} else {
				w.Log.Info("the server now filters the list by partitions", "discovery", addr)
			}
		}
		wait := pause.after(err, !first)
		if failed++; failed < len(w.Addresses) { // the next address may work, so try it soon
			wait = rand.N(firstBackoff)
		} else {
			if unable == len(w.Addresses) { // only a newer build helps, and each request costs part of the whole list
				wait = nextRefusal/2 + rand.N(nextRefusal/2)
			}
			failed, unable = 0, 0
		}
		if len(w.Addresses) > 1 {
			n++
			w.Cursor.tryNext(time.Now())
		}
		Sleep(ctx, wait)
	}
}

// retryAfterError is a refusal with a Retry-After.
type backError struct {
	after time.Duration
	error
}

func (b *backError) Unwrap() error { return b.error }

// refusalError converts a refusal into an error. Only a directory's Retry-After is respected, not the
// platform's.
func refusal(resp *http.Response) error {
	err := fmt.Errorf("watch: %w: %s", ErrRefused, resp.Status)
	s, bad := strconv.Atoi(resp.Header.Get("Retry-After"))
	if bad != nil || s < 0 || resp.Header.Get(historyOf) == "" {
		return err
	}
	return &backError{min(time.Duration(s)*time.Second, longestBack), err}
}

// watchOnce runs one watch to its end. It gives up on a silent watch, whose server's machine may be gone.
func (w *Watcher) once(ctx context.Context, addr string, history, after int64, tell func(Update) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(answerTime, func() { cancel(errSilent) })
	defer silence.Stop()
	err := w.follow(ctx, addr, history, after, func() { silence.Reset(watchSilence) }, tell)
	if errors.Is(context.Cause(ctx), errSilent) {
		err = fmt.Errorf("watch: %w: %w", errSilent, err)
	}
	return err
}

// readUpdates reads the lists of one watch. It calls alive for each sign that the server is alive.
func (w *Watcher) follow(ctx context.Context, addr string, history, after int64, alive func(), tell func(Update) error) error {
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
		return refusal(resp)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: %s", resp.Status)
	}
	if by := resp.Header.Get(partitionsOf); w.Partitions != nil && by != strconv.Itoa(ownership.PartitionCount) {
		return fmt.Errorf("watch: %w: header %s is %.40q", ErrNoPartitionFilter, partitionsOf, by)
	}
	news := Update{Server: addr, SourceAlive: resp.Header.Get(vouchedOf) != "no"}
	if h := resp.Header.Get(historyOf); h != "" {
		if news.History, err = strconv.ParseInt(h, 10, 64); err != nil || news.History <= 0 {
			return fmt.Errorf("watch: invalid history number %.40q", h)
		}
	}
	alive()
	heard := func() {
		alive()
		if w.OnLine != nil {
			w.OnLine()
		}
	}
	body := &lists{r: resp.Body, empty: heard}
	in := json.NewDecoder(body)
	for {
		body.left, body.between = maxList, blank(in.Buffered())
		news.List = catalog.List{}
		if err := in.Decode(&news.List); err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		heard()
		if err := tell(news); err != nil {
			return err
		}
	}
}

// listReader reads the body of a watch. A list may span several lines, so only lines between two lists count
// as a heartbeat. A list that arrives slowly is no sign of life until it is complete.
type lists struct {
	r       io.Reader
	empty   func() // called for empty lines
	between bool   // the previous list has ended and the next one has not begun
	left    int    // bytes that the next list may still use
}

func (l *lists) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, fmt.Errorf("the list exceeds %d bytes", maxList)
	}
	for {
		n, err := l.r.Read(p[:min(len(p), l.left)])
		if l.between = l.between && len(bytes.TrimSpace(p[:n])) == 0; !l.between {
			l.left -= n
			return n, err
		}
		if bytes.IndexByte(p[:n], '\n') >= 0 {
			l.empty()
		}
		if err != nil {
			return 0, err
		} // not passed on: a decoder buffers what precedes a list until the list arrives
	}
}

// isBlank reports whether a decoder has only empty lines left in its buffer.
func blank(r io.Reader) bool {
	left, err := io.ReadAll(r) // reads from memory
	return err == nil && len(bytes.TrimSpace(left)) == 0
}
