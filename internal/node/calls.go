package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"starlingusher/choice"
)

// Calls do not use the Transport of net/http. It treats a request with an Idempotency-Key as replayable and
// sends it again when a reused connection breaks. It dials for a call that may then get an idle connection
// first. And it does not tell how much of a request was written. Here each request is written once, on one
// connection, with one Write.

const (
	maxAnswerHead     = 32 << 10
	maxAnswerBody     = maxBody
	answerTimeout     = 500 * time.Millisecond // from an answer's first byte to its last
	loadHeader        = "Endpoint-Load-Metrics"
	maxInterimAnswers = 8 // 1xx answers before the final one
	maxRetryAfter     = 10 * time.Minute
	maxReportedLeft   = 2   // bound of the share left of the limit in a load report; it is noisy and may exceed 1
	maxReportedLimit  = 1e6 // bound of the limit in a load report, in calls a second
)

// item is one message of a call, in the encoding of a batch.
type item struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// maxEncodedSize returns the most bytes that an item can take in the body of a batch, where each byte of a
// string may need an escape.
func (i item) maxEncodedSize() int {
	return 6*(len(i.ID)+len(i.Key)) + base64.StdEncoding.EncodedLen(len(i.Body)) + 64
}

// call is a call to be made, with one attempt for each of its items.
type call struct {
	items     []item
	endpoint  *endpoint
	deadline  time.Time // the call is abandoned then
	startBy   time.Time // the first byte is not sent after this, unless it is zero
	resultBy  time.Time // the first of its messages ends then; an answer after it can't tell which messages are final
	newConn   bool      // don't use a keep-alive connection
	onWritten func()    // unless nil, it is called once the last byte is written
}

// itemResult is how a call ended for one of its items.
type itemResult struct {
	outcome   choice.Outcome
	final     bool // the message has ended, delivered or not: no further attempt can change that
	ambiguous bool // the answer was final, but may have come too late to count
}

// callResult is how a call ended. Without perItem it holds for all items.
type callResult struct {
	outcome     choice.Outcome
	perItem     []itemResult  // in the order of the items, if the answer to a batch was read
	retryAfter  time.Duration // the wait that the answer asks for, 0 for none
	noSlot      bool          // the endpoint had no slot for the call
	final       bool          // as in itemResult
	ambiguous   bool          // as in itemResult
	report      choice.Report
	reusedConn  bool      // the call was made on a keep-alive connection
	connClosed  bool      // the endpoint closes the connection after its answer
	firstLineAt time.Time // when the first line of the answer was read; zero if none was
}

// pool makes calls and keeps connections open between them.
type pool struct {
	dialer      func(ctx context.Context, network, addr string) (net.Conn, error)
	idleTimeout time.Duration
	maxIdle     int // maximum number of idle connections, to all endpoints

	mu        sync.Mutex
	idle      map[string][]*conn // by endpoint ID; the most recently used one is last
	idleCount int                // of connections in idle
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	addr         string
	limit        *io.LimitedReader // bounds what br reads from the connection
	br           *bufio.Reader
	idleWatchErr chan error  // receives the error that ended the watch of the idle connection
	abandoned    atomic.Bool // its call is over: the deadline has passed or it was canceled
	restedAt     time.Time   // when it may carry the next call; zero if it has carried none
	finalReads   int         // reads of what had already arrived, since the call was abandoned
}

func newPool(dialTimeout, connIdle time.Duration, maxIdle int) *pool {
	if dialTimeout <= 0 {
		dialTimeout = time.Second
	}
	return &pool{
		dialer: (&net.Dialer{Timeout: dialTimeout}).DialContext, idleTimeout: max(connIdle-idleMargin, connIdle/2), maxIdle: maxIdle,
		idle: map[string][]*conn{},
	}
}

// forItem returns how the call ended for its i-th item.
func (r callResult) forItem(i int) itemResult {
	if r.perItem == nil {
		return itemResult{r.outcome, r.final, r.ambiguous}
	}
	return r.perItem[i]
}

// markAmbiguous changes the result of an answer that was read completely only after resultBy, when the first
// message of the call had ended. The platform may count the answer as too late for all of them. Or it came in
// time, and only this process is late.
func (r *callResult) markAmbiguous() {
	r.final, r.ambiguous = false, r.final
	for i, f := range r.perItem {
		if f.final {
			r.perItem[i] = itemResult{outcome: f.outcome, ambiguous: true}
		}
	}
}

// do makes a call. It returns when its slot is free again: with the answer, or with the connection closed.
func (p *pool) do(ctx context.Context, c call) callResult {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	request, err := encodeRequest(c)
	if err != nil {
		return callResult{outcome: choice.Stale}
	}
	if !c.mayBegin() || ctx.Err() != nil {
		return callResult{outcome: choice.Stale}
	}
	var k *conn
	if c.newConn {
		p.closeNewestIdle(c.endpoint.id) // the new connection replaces it, because an endpoint accepts only so many
	} else if k = p.takeIdle(ctx, c.endpoint, c.startBy); ctx.Err() != nil && k == nil {
		return callResult{outcome: choice.Stale}
	}
	reused := k != nil
	if !reused {
		if k, err = p.dial(ctx, c.endpoint.addr, c.startBy); err != nil {
			return callResult{outcome: choice.Unreachable}
		}
	}
	// A connection rests before it is used again, and a dial takes up to a second, or more while the network path is down. A wait, a drain or a deadline may
	// come up meanwhile, or the call may be canceled; then the first byte must not be sent.
	if ctx.Err() != nil || !c.mayBegin() {
		p.putIdle(c.endpoint, k)
		return callResult{outcome: choice.Stale}
	}
	stop := context.AfterFunc(ctx, k.abandon)
	res, reuse := k.exchange(ctx, request, c)
	res.reusedConn = reused
	if stop() && reuse {
		k.restedAt = time.Now().Add(reuseDelay)
		p.putIdle(c.endpoint, k)
	} else {
		k.Close()
	}
	return res
}

// mayBegin reports whether the first byte may be sent now.
func (c call) mayBegin() bool {
	now := time.Now()
	return !c.endpoint.closedAt(now) && (c.startBy.IsZero() || now.Before(c.startBy))
}

func encodeRequest(c call) ([]byte, error) {
	path, header := "/v1/messages", http.Header{
		"X-Expires-In": {strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 1), 10) + "m"}, // "m" means milliseconds
		"User-Agent":   {"coralyard"},
	}
	one := c.items[0]
	body := one.Body
	if len(c.items) > 1 {
		var err error
		if body, err = json.Marshal(c.items); err != nil {
			return nil, err
		}
		path += ":batch"
		header["Content-Type"] = []string{"application/json"}
	} else {
		header["X-Trace-Id"] = []string{one.ID}
		if one.Key != "" {
			header["Idempotency-Key"] = []string{one.Key}
		}
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.endpoint.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header
	var b bytes.Buffer
	if err := req.Write(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func (p *pool) dial(ctx context.Context, addr string, by time.Time) (*conn, error) {
	if !by.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, by)
		defer cancel()
	}
	nc, err := p.dialer(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc, addr), nil
}

func newConn(nc net.Conn, addr string) *conn {
	k := &conn{Conn: nc, addr: addr}
	k.limit = &io.LimitedReader{R: k}
	k.br = bufio.NewReaderSize(k.limit, 4096)
	return k
}

// Read looks once more when it is interrupted because the call was abandoned, for an answer that has already
// arrived: the deadline may have passed while the process was stopped, and package choice, which may cancel
// the call, knows only of answers that were read.
func (k *conn) Read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && k.abandoned.Load() && k.finalReads < maxFinalReads {
		k.finalReads++
		if arrived, readErr := readArrived(k.Conn, p); arrived > 0 || readErr != nil {
			return arrived, readErr
		}
	}
	return n, err
}

// abandon interrupts a call whose deadline has passed or that was canceled.
func (k *conn) abandon() {
	k.abandoned.Store(true)
	k.SetDeadline(pastDeadline)
}

// exchange writes the request and reads the answer. It reports whether the connection can be used for another
// call.
func (k *conn) exchange(ctx context.Context, request []byte, c call) (res callResult, reuse bool) {
	if n, err := k.Write(request); err != nil && n < len(request) {
		return callResult{outcome: choice.Unreachable}, false // without the last byte the endpoint can't have begun the call
	}
	if c.onWritten != nil {
		c.onWritten()
	}
	res, reuse, err := k.readAnswer(c.items)
	if err == nil {
		if !time.Now().Before(c.resultBy) {
			res.markAmbiguous()
		}
		return res, reuse
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return callResult{outcome: choice.TimedOut}, false
	case ctx.Err() != nil:
		return callResult{outcome: choice.Canceled}, false
	}
	return callResult{outcome: choice.ConnectionBroken}, false
}

// readAnswer reads an answer and reports whether the connection can be used for another call. A status of 200
// to a call with one message counts as soon as the first line is read: the message is delivered, whatever
// follows. Any other answer, and any to a batch, counts only if it is complete and within the bounds of size
// and time. If bytes follow an answer, the connection is closed, but the answer counts.
func (k *conn) readAnswer(items []item) (callResult, bool, error) {
	for range maxInterimAnswers {
		k.limit.N = maxAnswerHead + maxAnswerBody
		if _, err := k.br.Peek(1); err != nil {
			return callResult{}, false, fmt.Errorf("answer: %w", err)
		}
		if err := k.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
			return callResult{}, false, fmt.Errorf("answer: %w", err)
		}
		if k.abandoned.Load() { // read only what has arrived, without waiting
			k.SetReadDeadline(pastDeadline)
		}
		code, err := k.readStatus()
		firstLineAt := time.Now()
		if err != nil {
			return callResult{}, false, fmt.Errorf("answer: %w", err)
		}
		res, reuse, err := k.readRest(items)
		if err != nil && code == http.StatusOK && len(items) <= 1 {
			res, err = callResult{outcome: choice.Success, final: true}, nil
		}
		if err != nil {
			return callResult{}, false, fmt.Errorf("answer: %w", err)
		}
		if err := k.SetReadDeadline(time.Time{}); err != nil {
			reuse = false
		}
		if code >= 200 {
			res.firstLineAt = firstLineAt
			return res, reuse, nil
		}
	}
	return callResult{}, false, errors.New("answer: only interim responses (1xx)")
}

// readStatus returns the status code of the answer as soon as its first line has arrived, and consumes
// nothing.
func (k *conn) readStatus() (int, error) {
	for n := k.br.Buffered(); ; n = max(n+1, k.br.Buffered()) {
		peeked, err := k.br.Peek(n)
		if line, _, ok := bytes.Cut(peeked, []byte("\n")); ok {
			return statusCode(strings.TrimSuffix(string(line), "\r"))
		}
		if err != nil {
			return 0, err
		}
	}
}

// statusCode parses a line like "HTTP/1.1 200 OK".
func statusCode(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, err := parseDigits(code)
	if err != nil || len(code) != 3 || n < 100 || (version != "HTTP/1.1" && version != "HTTP/1.0") {
		return 0, errors.New("not an HTTP status line")
	}
	return n, nil
}

// readRest reads an answer whose first line has arrived.
func (k *conn) readRest(items []item) (callResult, bool, error) {
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return callResult{}, false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode < 200 {
		return callResult{}, true, nil
	}
	res := parseOutcome(resp)
	res.connClosed = resp.Close
	body := io.LimitReader(resp.Body, maxAnswerBody+1)
	if len(items) > 1 && res.outcome == choice.Success {
		res.perItem, err = parseBatchAnswer(body, items)
		res.retryAfter = retryAfter(resp) // meant for the deferred items, but it applies to all further calls
	}
	if err == nil { // read the rest of the body
		_, err = io.Copy(io.Discard, body)
	}
	if err == nil && body.(*io.LimitedReader).N == 0 {
		err = errors.New("body too large")
	}
	return res, err == nil && !resp.Close && k.br.Buffered() == 0, err
}

var batchStates = map[string]itemResult{
	"accepted": {outcome: choice.Success, final: true}, "fault": {outcome: choice.ServerError}, "deferred": {outcome: choice.Rejected},
	"expired": {outcome: choice.Stale, final: true}, "no_more": {outcome: choice.Stale},
}

// parseBatchAnswer parses the answer to a batch. An item without a state, or with an unknown one, may have
// run. An answer with two states for an item is invalid.
func parseBatchAnswer(body io.Reader, items []item) ([]itemResult, error) {
	raw, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	var answers []struct{ ID, State string }
	if err := json.Unmarshal(raw, &answers); err != nil {
		return nil, fmt.Errorf("answer to a batch: %w", err)
	}
	state := make(map[string]string, len(answers))
	for _, a := range answers {
		if _, repeated := state[a.ID]; repeated {
			return nil, errors.New("answer to a batch: it names a message twice")
		}
		state[a.ID] = a.State
	}
	results := make([]itemResult, len(items))
	for i, item := range items {
		var ok bool
		if results[i], ok = batchStates[state[item.ID]]; !ok {
			results[i] = itemResult{outcome: choice.ServerError}
		}
	}
	return results, nil
}

// parseOutcome maps an answer to a result as the table in the protocol does.
func parseOutcome(resp *http.Response) callResult {
	res := callResult{report: loadReport(resp.Header.Values(loadHeader))}
	switch resp.StatusCode {
	case http.StatusOK:
		res.outcome, res.final = choice.Success, true
	case http.StatusTooManyRequests:
		res.outcome, res.retryAfter = choice.Rejected, retryAfter(resp)
	case http.StatusServiceUnavailable:
		res.outcome = choice.Rejected
		if resp.Header.Get("X-Line-Busy") == "1" {
			res.outcome, res.noSlot = choice.Stale, true
		}
	case http.StatusGatewayTimeout:
		res.outcome = choice.Stale
	case http.StatusGone:
		res.outcome, res.final = choice.Stale, true
	default: // 500 and statuses that the protocol does not define: the call may have run
		res.outcome = choice.ServerError
	}
	return res
}

// retryAfter returns the wait that an answer asks for, at most maxRetryAfter, or 0 for none.
func retryAfter(resp *http.Response) time.Duration {
	sec, err := parseDecimal(resp.Header.Get("Retry-After"), math.MaxFloat64)
	if err != nil {
		return 0
	}
	return time.Duration(min(sec, maxRetryAfter.Seconds()) * float64(time.Second))
}

// loadReport parses a load report like "x0=0.4,x1=25": x0 is the share left of the limit, x1 the limit in
// calls a second. A report with any invalid part counts as none, because package choice trusts the limit.
func loadReport(values []string) choice.Report {
	var r choice.Report
	if len(values) != 1 {
		return r
	}
	for field := range strings.SplitSeq(values[0], ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		var err error
		switch {
		case name == "x0" && !r.HasLeft:
			r.HasLeft = true
			r.Left, err = parseDecimal(value, maxReportedLeft)
		case name == "x1" && !r.HasLimit:
			r.HasLimit = true
			r.Limit, err = parseDecimal(value, maxReportedLimit)
		default:
			err = errors.New("unknown or repeated field in a load report")
		}
		if err != nil {
			return choice.Report{}
		}
	}
	return r
}
