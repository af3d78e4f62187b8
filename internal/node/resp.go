package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"starlingusher/internal/wire"
)

// The reader below replaces the one of redcon v1.6.4, which indexes out of its buffer on a bulk length near
// the largest integer, loops over any announced array length, and buffers requests without bound.

// Bounds of a request.
const (
	maxBody          = 64 << 10 // bytes
	maxArgSize       = 1 << 10  // bytes of each argument but the body
	maxArgs          = 8
	bodyArgIndex     = 4       // index of the body among the arguments of an ENQUEUE
	maxLine          = 512     // bytes
	maxSkipped       = 1 << 20 // bytes of too large arguments that are read and dropped, so that the connection stays usable
	maxEmptyCommands = 16      // empty commands ahead of a real one
	maxTTL           = 24 * time.Hour
)

// request is one message as a client hands it in.
type request struct {
	id, key     string
	class, dest int
	tenant      int // -1 if it is not in the settings
	ttl         time.Duration
	body        []byte
	receivedAt  time.Time
}

// answer is what a client is told: accepted, refused, or failed for a reason.
type answer struct {
	refused    bool
	retryAfter time.Duration
	failure    string

	// Whether the message was accepted is not known. The client gets no reply and its connection ends, as in a
	// crash.
	outcomeUnknown   bool
	countedElsewhere bool // another process gave the answer and has counted it
}

func (a answer) encode() string {
	switch {
	case a.outcomeUnknown:
		return ""
	case a.failure != "":
		return "-ERR " + a.failure + "\r\n"
	case a.refused && a.retryAfter >= time.Millisecond:
		return "-BUSY " + strconv.FormatInt(a.retryAfter.Milliseconds(), 10) + "\r\n"
	case a.refused:
		return "-BUSY\r\n"
	}
	return "+OK\r\n"
}

// errProtocol ends a connection, because the start of its next request can't be found.
//
//lint:ignore ST1005 clients match this reply letter for letter
var errProtocol = errors.New("Protocol error")

// errTooLarge is a request that was read to its end and is too large to accept.
var errTooLarge = errors.New("a body holds 65536 bytes at most")

// readCommand reads an array of bulk strings or an inline command, within bounds. It skips empty commands.
func readCommand(r *bufio.Reader) ([][]byte, error) {
	for range maxEmptyCommands {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		args := bytes.Fields(line)
		if len(line) > 0 && line[0] == '*' {
			if args, err = readArray(r, line[1:]); err != nil {
				return nil, err
			}
		}
		if len(args) > 0 {
			return args, nil
		}
	}
	return nil, fmt.Errorf("%w: nothing but empty commands", errProtocol)
}

func readArray(r *bufio.Reader, length []byte) ([][]byte, error) {
	count, err := parseDigits(string(length))
	if err != nil || count > maxArgs {
		return nil, fmt.Errorf("%w: invalid multibulk length", errProtocol)
	}
	args := make([][]byte, 0, count)
	skipped := 0
	for i := range count {
		line, err := readLine(r)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if len(line) == 0 || line[0] != '$' {
			return nil, fmt.Errorf("%w: expected '$'", errProtocol)
		}
		size, err := parseDigits(string(line[1:]))
		if err != nil {
			return nil, fmt.Errorf("%w: invalid bulk length", errProtocol)
		}
		limit := maxArgSize
		if i == bodyArgIndex {
			limit = maxBody
		}
		if size > limit {
			if skipped += size; skipped > maxSkipped {
				return nil, fmt.Errorf("%w: invalid bulk length", errProtocol)
			}
			if _, err := r.Discard(size); err != nil {
				return nil, unexpectedEOF(err)
			}
			size = 0
		}
		arg, err := readBulk(r, size)
		if err != nil {
			return nil, err
		}
		args = append(args, arg)
	}
	if skipped > 0 {
		return nil, errTooLarge
	}
	return args, nil
}

// readBulk reads a bulk string and the end of its line. It allocates memory as the bytes arrive, not as they
// are announced.
func readBulk(r *bufio.Reader, size int) ([]byte, error) {
	arg := make([]byte, min(size+2, r.Size()))
	if _, err := io.ReadFull(r, arg); err != nil {
		return nil, unexpectedEOF(err)
	}
	for have := len(arg); have < size+2; have = len(arg) {
		arg = append(arg, make([]byte, min(have, size+2-have))...)
		if _, err := io.ReadFull(r, arg[have:]); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	if string(arg[size:]) != "\r\n" {
		return nil, fmt.Errorf("%w: a bulk string of another length than told", errProtocol)
	}
	return arg[:size:size], nil
}

// parseDigits parses a whole number as the protocol writes it: digits alone.
func parseDigits(text string) (int, error) {
	if len(text) > 9 {
		return 0, errors.New("the number has more than 9 digits")
	}
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return 0, errors.New("the number has characters other than digits")
		}
	}
	return strconv.Atoi(text)
}

// parseDecimal parses a number that is written in digits, with a point or without. ParseFloat alone accepts
// infinities, hexadecimal and exponents as well.
func parseDecimal(text string, limit float64) (float64, error) {
	for _, c := range []byte(text) {
		if (c < '0' || c > '9') && c != '.' {
			return 0, errors.New("not a plain decimal number")
		}
	}
	v, err := strconv.ParseFloat(text, 64)
	if err == nil && v > limit {
		err = errors.New("the number is too large")
	}
	return v, err
}

// unexpectedEOF distinguishes the end of a connection inside a request from one between requests.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || (err == nil && len(line) > maxLine) {
		return nil, fmt.Errorf("%w: a line too long", errProtocol)
	}
	if err != nil {
		if len(line) > 0 {
			return nil, unexpectedEOF(err)
		}
		return nil, err
	}
	return []byte(strings.TrimRight(string(line), "\r\n")), nil
}

// parseEnqueue parses the arguments of an ENQUEUE.
func parseEnqueue(args [][]byte, names wire.Names, receivedAt time.Time) (request, error) {
	q := request{receivedAt: receivedAt, class: -1, tenant: -1, dest: -1, ttl: -1}
	if len(args) != 5 {
		return q, errors.New("wrong number of arguments for 'enqueue' command")
	}
	q.id, q.body = string(args[2]), args[4]
	if !isToken(q.id) {
		return q, errors.New("the id can't be used")
	}
	if len(args[3]) > maxArgSize {
		return q, errors.New("the fields are too long")
	}
	for field := range strings.SplitSeq(string(args[3]), ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "c":
			if q.class = slices.Index(names.Classes, value); q.class < 0 {
				return q, errors.New("unknown class")
			}
		case "t":
			q.tenant = slices.Index(names.Tenants, value)
		case "d":
			ms, err := parseDecimal(value, float64(maxTTL.Milliseconds()))
			if err != nil {
				return q, errors.New("d is no time in milliseconds")
			}
			q.ttl = time.Duration(ms * float64(time.Millisecond))
		case "dest":
			n, err := parseDigits(value)
			if err != nil {
				return q, errors.New("dest is no number")
			}
			q.dest = n
		case "k":
			if q.key = value; !isToken(value) {
				return q, errors.New("the key can't be used")
			}
		}
	}
	if q.class < 0 || q.ttl < 0 || q.dest < 0 {
		return q, errors.New("c, d and dest are needed")
	}
	return q, nil
}

// isToken reports whether s can go into a header as it is.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 256
}
