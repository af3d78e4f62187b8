// Package registry is the client of a list service, the platform's discovery or our own directory: it follows the list
// at one of several addresses, never goes back in revisions, and outlives the service. It serves the node and
// everything else that needs the list.
package registry

import (
	"bufio"
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
)

const (
	maxListLine = 16 << 20
	// An empty line comes every 2 s. A watch without one has died, though its connection may not show it, and what
	// changes counts as told to a node 4 s later all the same. A new watch is answered at once.
	watchSilence = 2500 * time.Millisecond
	// For so long another server that tells no history is given to catch up with what was told; then its revisions are
	// taken to count something else. What changes counts as told 4 s after a move.
	catchUpTime = 2 * time.Second
	// A service that cuts watches or refuses asks has more of them than it can answer, and most nodes of the fleet
	// ask again then. Between them that should be some asks a second: with pauses of a second or two for each node
	// the asks alone kept it so for good. Told of a change a node counts as some seconds later in any case.
	askEvery     = 200 * time.Millisecond // of all nodes together
	longestAsk   = 20 * time.Second
	longestBack  = time.Minute // that a service may tell to wait
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// The headers by which a directory of ours tells more than the platform does. historyOf also tells it apart.
const (
	historyOf = "Registry-History"
	vouchedOf = "Registry-Vouched"
)

var (
	// ErrBehind says that a server has not yet been sent what another one has told.
	ErrBehind = errors.New("the list is older than what was told before")
	// ErrRefused says that a server had no room for the ask.
	ErrRefused = errors.New("refused")
)

// Position is how far a caller has been told, and by whose count.
type Position struct {
	History  int64 // 0: by a service that tells none
	Revision int64
	From     string // the address that told it
}

// News is a list that was told, or what changed of one.
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

// Next is the next pause, from 25 ms to 2 s.
func (b *Backoff) Next() time.Duration {
	*b = min(max(2**b, Backoff(firstBackoff)), Backoff(lastBackoff))
	return time.Duration(*b)/2 + rand.N(time.Duration(*b)/2)
}

// apart is a pause for one of so many nodes that were refused together: it doubles, and differs from node to node by a
// factor of three.
func (b *Backoff) apart(nodes int) time.Duration {
	first := Backoff(nodes) * Backoff(askEvery)
	*b = min(max(2**b, first), max(8*first, Backoff(lastBackoff)), Backoff(longestAsk))
	return time.Duration(*b)/2 + rand.N(time.Duration(*b))
}

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
}

// Watch follows the list until the context ends, and hands on what it is told. What is not taken ends its watch, and
// is asked for again. With several addresses it begins at any of them, and goes on to the next when one fails.
func (w *Watcher) Watch(ctx context.Context, tell func(News) error) {
	var pause, refused Backoff
	n := 0
	if len(w.Addresses) > 1 {
		n = rand.IntN(len(w.Addresses))
	}
	failed := 0 // addresses in a row
	for ctx.Err() == nil {
		first := true
		addr := w.Addresses[n%len(w.Addresses)]
		history, after := w.Track.After(addr)
		err := w.once(ctx, addr, history, after, func(l News) error {
			if err := w.Track.Take(l, time.Now()); err != nil {
				return err
			}
			if first {
				w.Log.Info("watching", "discovery", addr, "after", after, "revision", l.Revision, "complete", l.Complete, "members", len(l.Members))
			}
			if err := tell(l); err != nil {
				return err
			}
			pause, refused, first, failed = 0, 0, false, 0
			return nil
		})
		if ctx.Err() != nil {
			return
		}
		w.Log.Debug("watch ended", "discovery", addr, "err", err)
		var back *backError
		wait := pause.Next()
		failed++
		switch {
		case failed < len(w.Addresses): // the next one may do at once
			wait = rand.N(firstBackoff)
		case errors.As(err, &back):
			wait = back.after + rand.N(time.Second) // they say whole seconds
		case errors.Is(err, ErrRefused):
			wait = refused.apart(w.Nodes)
		case !first: // it was cut, and the others' with it
			wait = rand.N(time.Duration(w.Nodes) * askEvery)
		}
		if failed >= len(w.Addresses) {
			failed = 0
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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	url := fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", addr, after)
	if history > 0 {
		url += fmt.Sprintf("&history=%d", history)
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
	news := News{From: addr, Vouched: resp.Header.Get(vouchedOf) != "no"}
	if h := resp.Header.Get(historyOf); h != "" {
		if news.History, err = strconv.ParseInt(h, 10, 64); err != nil || news.History <= 0 {
			return fmt.Errorf("watch: history %.40q", h)
		}
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 16<<10), maxListLine)
	for lines.Scan() {
		silence.Reset(watchSilence)
		if w.Heard != nil {
			w.Heard()
		}
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		news.List = catalog.List{}
		if err := json.Unmarshal(line, &news.List); err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		if err := tell(news); err != nil {
			return err
		}
	}
	return errors.Join(lines.Err(), io.EOF)
}
