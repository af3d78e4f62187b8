// Package registry is the client of a list service, the platform's discovery or our own directory: it follows the list
// at one of several addresses, never goes back in revisions, and outlives the service. It serves the node and
// everything else that needs the list.
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

// A change counts as told to a node 6 s after the service had it and could be reached, whatever call failed. These add up to
// less than that at any size of the fleet: see pauses.
const (
	maxList = 16 << 20 // bytes of one list
	// An empty line comes every 2 s. A watch without one has died, though its connection may not show it.
	watchSilence = 2500 * time.Millisecond
	// A new watch is answered at once. One that does not come so far as its answer's head in this time is asked for anew;
	// some services say 503 only after 2 s.
	answerTime = 2200 * time.Millisecond
	// For so long another server that tells no history is given to catch up with what was told; then its revisions are
	// taken to count something else. What changes counts as told 4 s after a move.
	catchUpTime = 2 * time.Second
	// A service that cuts watches or refuses asks has more of them than it can answer, and most nodes of the fleet ask
	// again then. Between them that should be some asks a second, as far as the 6 s have room for it.
	askEvery     = 200 * time.Millisecond // of all nodes together
	afterCut     = 1500 * time.Millisecond
	afterSilence = 500 * time.Millisecond // its end is known late enough
	firstRefusal = 2 * time.Second        // at most after one refusal; it may be a passing one
	nextRefusal  = 5 * time.Second        // after more of them the service is past its room
	longestBack  = 3 * time.Second        // that a service may tell to wait; a second is added at random
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = time.Second
)

// The headers by which a directory of ours tells more than the platform does. historyOf also tells it apart.
const (
	historyOf    = "Registry-History"
	vouchedOf    = "Registry-Vouched"
	partitionsOf = "Registry-Partitions" // by how many partitions an answer was filtered
)

var (
	// ErrBehind says that a server has not yet been sent what another one has told.
	ErrBehind = errors.New("the list is older than what was told before")
	// ErrRefused says that a server had no room for the ask.
	ErrRefused = errors.New("refused")
	// ErrCannotPart says that a server does not tell the list of some partitions alone, but would send all of it: it is a
	// replica of an older build, or counts other partitions.
	ErrCannotPart = errors.New("it does not part the list by partitions")
	// errSilent says that a server said nothing for longer than a living one does.
	errSilent = errors.New("silent")
)

// Position is how far a caller has been told, and by whose count.
type Position struct {
	History  int64 // 0: by a service that tells none
	Revision int64
	From     string // the address that told it
}

// News is a list that was told, or what changed of one. Its Map is the number of the newest map of partitions that the server
// has, 0 where there is none or the ask was for the whole list. It may have no members: then it carries on the revision, or a
// new number of the map.
type News struct {
	catalog.List
	History int64  // as in Position
	From    string // the address that told it
	Vouched bool   // its service stands by it; the platform's always does
}

// Position is how far a caller is who has taken the news.
func (n News) Position() Position { return Position{n.History, n.Revision, n.From} }

// Track keeps a caller from going back: it knows what was told, and decides what may be taken. It is not safe for use
// by several goroutines at once.
type Track struct {
	at    Position
	until time.Time // for so long another server's older revisions are only late
	left  bool      // the server that told last, by the watch's own choice
}

// NewTrack begins where the caller is.
func NewTrack(at Position) *Track { return &Track{at: at} }

// At is how far the caller has been told.
func (t *Track) At() Position { return t.at }

// After is what to ask an address for: nothing but the history where its revisions may count something else.
func (t *Track) After(addr string) (history, revision int64) {
	if t.at.History > 0 || t.at.From == "" || t.at.From == addr {
		return t.at.History, t.at.Revision
	}
	return 0, 0
}

// Moved says that another server is asked from now on. One that tells no history has some time to catch up.
func (t *Track) Moved(now time.Time) { t.until = now.Add(catchUpTime) }

// tryNext is Moved for a watch that goes from server to server until one tells it something: that takes no time away.
func (t *Track) tryNext(now time.Time) {
	if !t.left {
		t.left = true
		t.Moved(now)
	}
}

// Take takes a list, or says that it is old news.
func (t *Track) Take(n News, now time.Time) error {
	switch {
	case n.History > t.at.History && t.at.History > 0: // restored from a backup since; its revisions begin anew
		if !n.Complete {
			return fmt.Errorf("%w: changes of another history, without its list", ErrBehind)
		}
	case n.History > 0 && n.History < t.at.History, n.History == t.at.History && n.History > 0 && n.Revision < t.at.Revision:
		return fmt.Errorf("%w: %d.%d after %d.%d", ErrBehind, n.History, n.Revision, t.at.History, t.at.Revision)
	case n.History != t.at.History || n.History == 0: // nothing but time tells whether they count the same
		if n.Revision < t.at.Revision && now.Before(t.until) {
			return fmt.Errorf("%w: %d after %d", ErrBehind, n.Revision, t.at.Revision)
		}
	}
	t.at, t.left = n.Position(), false
	return nil
}

// Backoff is a pause that doubles, with half of it left to chance so that callers don't return in step.
type Backoff time.Duration

// Next is the next pause, from 25 ms to 1 s.
func (b *Backoff) Next() time.Duration {
	*b = min(max(2**b, Backoff(firstBackoff)), Backoff(lastBackoff))
	return time.Duration(*b)/2 + rand.N(time.Duration(*b)/2)
}

// pauses are those between a watch's end and the ask for the next one. The longest chains, with the time that an ask may
// hang: a silence, its pause, an ask that hangs and the first backoff take 5.25 s; a silence, its pause, a refusal and its pause 5 s;
// a cut, a refusal and theirs 3.5 s. Of a service that went on refusing the news comes 5 s after it has room again, of one that hung or
// could not be connected to 3.2 s after it can be reached.
type pauses struct {
	nodes    int
	failed   Backoff
	refusals int // in a row
}

// after is the pause after a watch that ended by err; told tells that it had brought something.
func (p *pauses) after(err error, told bool) time.Duration {
	apart := time.Duration(p.nodes) * askEvery
	var back *backError
	switch {
	case errors.As(err, &back):
		return back.after + rand.N(time.Second) // they say whole seconds
	case errors.Is(err, ErrRefused):
		p.refusals++
		most := min(2*apart, firstRefusal)
		if p.refusals > 1 {
			most = min(apart<<min(p.refusals, 8), nextRefusal)
		}
		return most/2 + rand.N(most/2)
	case told && errors.Is(err, errSilent):
		return rand.N(min(apart, afterSilence))
	case told: // it was cut, and the others' with it
		return rand.N(min(apart, afterCut))
	}
	return p.failed.Next()
}

// news ends what failures have added up to.
func (p *pauses) news() { p.failed, p.refusals = 0, 0 }

// Sleep waits, and tells whether the context is still alive after it.
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

// Watcher follows the list.
type Watcher struct {
	Addresses []string // at least one; they serve the same list
	Nodes     int      // that follow it in all
	Client    *http.Client
	Log       *slog.Logger
	Track     *Track
	Heard     func() // called for each line that a server sends, also an empty one; may be nil

	// Partitions are those whose list is followed; nil: the whole list. It is not changed while Watch runs: who wants others
	// calls it anew. The first list of a call is whole, the later ones are as Track has them. A server refuses an empty set;
	// who owns none follows any one partition, for the map's number.
	Partitions *ownership.Set
}

// Watch follows the list until the context ends, and hands on what it is told. What is not taken ends its watch, and
// is asked for again. With several addresses it begins at any of them, and goes on to the next when one fails.
func (w *Watcher) Watch(ctx context.Context, tell func(News) error) {
	pause := pauses{nodes: w.Nodes}
	n := 0
	if len(w.Addresses) > 1 {
		n = rand.IntN(len(w.Addresses))
	}
	failed := 0                  // addresses in a row
	unable := 0                  // of those, for ErrCannotPart
	whole := w.Partitions != nil // what the caller has may be of other partitions
	cannot := map[string]bool{}  // addresses that were found unable
	for ctx.Err() == nil {
		first := true
		addr := w.Addresses[n%len(w.Addresses)]
		history, after := w.Track.After(addr)
		if whole {
			after = 0
		}
		err := w.once(ctx, addr, history, after, func(l News) error {
			if whole && !l.Complete {
				return errors.New("watch: changes, where the whole list was asked for")
			}
			if err := w.Track.Take(l, time.Now()); err != nil {
				return err
			}
			if first {
				w.Log.Info("watching", "discovery", addr, "after", after, "revision", l.Revision, "complete", l.Complete, "members", len(l.Members))
			}
			if err := tell(l); err != nil {
				whole = w.Partitions != nil // it lacks these changes
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
		is := errors.Is(err, ErrCannotPart)
		if is {
			unable++
		}
		if is != cannot[addr] && (is || !first) {
			if cannot[addr] = is; is {
				w.Log.Warn("not taken: the server would send the whole list", "discovery", addr, "err", err)
			} else {
				w.Log.Info("the server parts the list now", "discovery", addr)
			}
		}
		wait := pause.after(err, !first)
		if failed++; failed < len(w.Addresses) { // the next one may do at once
			wait = rand.N(firstBackoff)
		} else {
			if unable == len(w.Addresses) { // nothing but a newer build mends it, and each ask costs a piece of the whole list
				wait = nextRefusal/2 + rand.N(nextRefusal/2)
			}
			failed, unable = 0, 0
		}
		if len(w.Addresses) > 1 {
			n++
			w.Track.tryNext(time.Now())
		}
		Sleep(ctx, wait)
	}
}

// backError is a refusal that tells when to come back.
type backError struct {
	after time.Duration
	error
}

func (b *backError) Unwrap() error { return b.error }

// refusal makes an error of a refusing answer. Only a directory of ours is taken at its word on when to return.
func refusal(resp *http.Response) error {
	err := fmt.Errorf("watch: %w: %s", ErrRefused, resp.Status)
	s, bad := strconv.Atoi(resp.Header.Get("Retry-After"))
	if bad != nil || s < 0 || resp.Header.Get(historyOf) == "" {
		return err
	}
	return &backError{min(time.Duration(s)*time.Second, longestBack), err}
}

// once follows one watch to its end. One that has gone silent is given up: its machine may be gone.
func (w *Watcher) once(ctx context.Context, addr string, history, after int64, tell func(News) error) error {
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

// follow takes the lists of one watch; alive is called for each sign that the service is there.
func (w *Watcher) follow(ctx context.Context, addr string, history, after int64, alive func(), tell func(News) error) error {
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
		return fmt.Errorf("watch: %w: %s is %.40q", ErrCannotPart, partitionsOf, by)
	}
	news := News{From: addr, Vouched: resp.Header.Get(vouchedOf) != "no"}
	if h := resp.Header.Get(historyOf); h != "" {
		if news.History, err = strconv.ParseInt(h, 10, 64); err != nil || news.History <= 0 {
			return fmt.Errorf("watch: history %.40q", h)
		}
	}
	alive()
	heard := func() {
		alive()
		if w.Heard != nil {
			w.Heard()
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

// lists reads the body of a watch. A list may stand on one line or on several, so only what stands between two of them is
// a sign of life; one that trickles is none until it is there.
type lists struct {
	r       io.Reader
	empty   func() // is called for empty lines
	between bool   // the last list has ended and the next one has not begun
	left    int    // bytes that the next list may yet take
}

func (l *lists) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, fmt.Errorf("a list of more than %d bytes", maxList)
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
		} // else it is not handed on, for a decoder keeps what stands before a list until that is there
	}
}

// blank tells that what is left of a decoder's reading is empty lines.
func blank(r io.Reader) bool {
	left, err := io.ReadAll(r) // of memory
	return err == nil && len(bytes.TrimSpace(left)) == 0
}
