package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"starlingusher/internal/registry"
	"starlingusher/internal/sysretry"
)

const (
	maxNoticePostSize = maxBody         // bytes of one post; the protocol allows no larger body
	noticePostTimeout = 2 * time.Second // discovery answers at once, so an address that does not is taken to be down
	// A notice is due within 300 ms of the end of its message. So a post without an answer is made once more
	// after this time, on a new connection and to the next address; the time is doubled for each further one.
	noticeHedgeDelay = 100 * time.Millisecond
	maxNoticePosts   = 4 // of the same notices at a time
	// Pauses after a failed round of posts, while an outage may still be of a moment only.
	maxFirstNoticePause = 100 * time.Millisecond
	firstNoticeRounds   = 20
	// A connection that could not be opened cost nobody anything, and the system may be out of something for a moment only.
	dialNoticePause  = 10 * time.Millisecond
	dialNoticeRounds = 15
)

// notice tells the platform how a message ended that was accepted and not delivered. One line of a post holds
// it as JSON.
type notice struct {
	message *pendingMessage

	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMS int64  `json:"after_ms,omitempty"`
}

// newNotice returns the notice of a message that has its final answer.
func newNotice(m *pendingMessage) notice {
	if m.final.failed {
		return notice{message: m, ID: m.id, State: "failed"}
	}
	return notice{message: m, ID: m.id, State: "returned", AfterMS: m.final.retryAfter.Milliseconds()}
}

// noticePoster posts notices to discovery's addresses.
type noticePoster struct {
	log        *slog.Logger
	client     *http.Client
	addrs      []string
	hedgeDelay time.Duration // noticeHedgeDelay, except in tests

	next int // index of the address for the next post
}

// run posts notices until ctx ends: the unanswered ones first, then those from more. It passes answered ones
// to done, because the journal may then forget their messages, and returns those without an answer. A post
// without an answer may have been accepted all the same; posting a notice again does no harm.
func (p *noticePoster) run(ctx context.Context, unanswered []notice, more <-chan []notice, done func([]notice)) []notice {
	var backoff registry.Backoff
	for rounds := 0; ctx.Err() == nil; {
		if len(unanswered) == 0 { // while some are unanswered, the node's event loop holds new ones back
			select {
			case unanswered = <-more:
			case <-ctx.Done():
			}
			continue
		}
		n, err := p.post(ctx, unanswered)
		switch {
		case err == nil:
			backoff, rounds = 0, 0
			done(unanswered[:n])
			unanswered = unanswered[n:]
		case ctx.Err() == nil:
			p.log.Warn("notices could not be posted; trying again", "discovery", p.addrs, "owed", len(unanswered), "err", err)
			rounds++
			sysretry.Sleep(ctx, min(backoff.Next(), maxNoticePause(rounds, err)))
		}
	}
	return unanswered
}

// maxNoticePause returns the longest pause after so many failed rounds, the last of which ended with err.
func maxNoticePause(rounds int, err error) time.Duration {
	var operation *net.OpError
	switch {
	case rounds <= dialNoticeRounds && errors.As(err, &operation) && operation.Op == "dial":
		return dialNoticePause
	case rounds <= firstNoticeRounds:
		return maxFirstNoticePause
	}
	return noticePostTimeout // longer than any pause of the backoff
}

// post posts as many of the notices as fit into one body, and returns how many these are. Several posts of the
// same body may be under way at a time; one answer is enough.
func (p *noticePoster) post(ctx context.Context, notices []notice) (int, error) {
	body, n, err := encodeNotices(notices)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, noticePostTimeout)
	defer cancel()
	results := make(chan error, maxNoticePosts)
	posts, pending := 0, 0
	start := func() {
		addr, fresh := p.addrs[p.next%len(p.addrs)], posts > 0
		posts++
		pending++
		go func() { results <- postBody(ctx, p.client, addr, fresh, body) }()
	}
	start()
	hedge := time.NewTimer(p.hedgeDelay)
	defer hedge.Stop()
	var failures []error
	for {
		select {
		case err := <-results:
			if err == nil {
				return n, nil
			}
			failures = append(failures, err)
			pending--
			p.next++
			if posts < len(p.addrs) { // another address may accept them at once
				start()
			}
			if pending == 0 {
				return 0, errors.Join(failures...)
			}
		case <-hedge.C:
			if posts < maxNoticePosts {
				p.next++
				start()
				hedge.Reset(p.hedgeDelay << (posts - 1))
			}
		}
	}
}

// encodeNotices returns the body of a post, and the number of notices that it holds.
func encodeNotices(notices []notice) ([]byte, int, error) {
	var body bytes.Buffer
	n := 0
	for _, one := range notices {
		line, err := json.Marshal(one)
		if err != nil {
			return nil, 0, fmt.Errorf("encode notices: %w", err)
		}
		if n > 0 && body.Len()+len(line) >= maxNoticePostSize {
			break
		}
		body.Write(append(line, '\n'))
		n++
	}
	return body.Bytes(), n, nil
}

// postBody posts a body of notices to an address, on a fresh connection if required: a kept one may be silent.
func postBody(ctx context.Context, client *http.Client, addr string, fresh bool, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/reports", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("post notices: %w", err)
	}
	if fresh {
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("post notices: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxNoticePostSize)); err != nil {
		return fmt.Errorf("post notices: %w", err)
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("post notices: status %s", resp.Status)
	}
	return nil
}
