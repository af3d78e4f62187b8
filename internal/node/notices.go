package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"starlingusher/internal/registry"
)

const (
	maxNoticePostSize = maxBody         // bytes of one post; the protocol allows no larger body
	noticePostTimeout = 2 * time.Second // discovery answers at once, so an address that does not is taken to be down
	// With several addresses each gets this long at first, because a notice is due within 300 ms of the end
	// of its message. The timeout is doubled whenever none of them has answered.
	firstNoticePostTimeout = 100 * time.Millisecond
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

// reportNotices posts notices to discovery's addresses until ctx ends: the unanswered ones first, then those
// from more. It passes answered ones to done, because the journal may then forget their messages, and returns
// those without an answer. A post without an answer may have been accepted all the same; posting a notice
// again does no harm.
func reportNotices(
	ctx context.Context, log *slog.Logger, client *http.Client, addrs []string,
	unanswered []notice, more <-chan []notice, done func([]notice),
) []notice {
	var backoff registry.Backoff
	firstTimeout := noticePostTimeout
	if len(addrs) > 1 {
		firstTimeout = firstNoticePostTimeout
	}
	timeout := firstTimeout
	for next, failures := 0, 0; ctx.Err() == nil; {
		if len(unanswered) == 0 { // while some are unanswered, the node's event loop holds new ones back
			select {
			case unanswered = <-more:
			case <-ctx.Done():
			}
			continue
		}
		addr := addrs[next%len(addrs)]
		n, err := postNotices(ctx, client, addr, timeout, unanswered)
		if err != nil {
			if ctx.Err() == nil {
				log.Warn("notices could not be posted; trying the next address", "discovery", addr, "owed", len(unanswered), "err", err)
				next++ // the next address may accept them
				if failures++; failures%len(addrs) == 0 {
					timeout = min(2*timeout, noticePostTimeout)
					registry.Sleep(ctx, backoff.Next())
				}
			}
			continue
		}
		backoff, failures, timeout = 0, 0, firstTimeout
		done(unanswered[:n])
		unanswered = unanswered[n:]
	}
	return unanswered
}

// postNotices posts as many of the notices as fit into one body, and returns how many these are.
func postNotices(ctx context.Context, client *http.Client, addr string, timeout time.Duration, notices []notice) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body bytes.Buffer
	n := 0
	for _, one := range notices {
		line, err := json.Marshal(one)
		if err != nil {
			return 0, fmt.Errorf("post notices: %w", err)
		}
		if n > 0 && body.Len()+len(line) >= maxNoticePostSize {
			break
		}
		body.Write(append(line, '\n'))
		n++
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/reports", &body)
	if err != nil {
		return 0, fmt.Errorf("post notices: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("post notices: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxNoticePostSize)); err != nil {
		return 0, fmt.Errorf("post notices: %w", err)
	}
	if resp.StatusCode/100 != 2 {
		return 0, fmt.Errorf("post notices: status %s", resp.Status)
	}
	return n, nil
}
