package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sender is a small delivery node for testing the judge. It keeps all rules but the one that its fault names.
// It has no journal.
type sender struct {
	fault     string
	discovery string
	classes   map[string]string // effects
	windows   map[string]time.Duration
	slots     chan struct{}
	client    *http.Client

	mu               sync.Mutex
	members          map[string]senderMember
	retryAfterByDest map[int]time.Time
}

type senderMember struct {
	ID    string `json:"id"`
	Addr  string `json:"host_port"`
	Cell  int    `json:"cell"`
	Phase string `json:"phase"`
}

type senderList struct {
	Revision int64          `json:"revision"`
	Complete bool           `json:"complete"`
	Members  []senderMember `json:"members"`
}

type senderMessage struct {
	id, class, key string
	dest           int
	deadline       time.Time
	body           []byte
}

// runSender is the main function of a sender process.
func runSender(fault string) error {
	raw, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		return err
	}
	var cfg struct {
		Listen    string
		Discovery string
		Known     senderList
		Settings  struct {
			Categories []struct {
				Name, Effect string
				Window       float64
			}
			Domain struct{ Workers int }
		}
	}
	if err := json.Unmarshal(raw, &cfg); err != nil {
		return err
	}
	s := &sender{
		fault: fault, discovery: cfg.Discovery, classes: map[string]string{}, windows: map[string]time.Duration{},
		slots: make(chan struct{}, cfg.Settings.Domain.Workers), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		members: map[string]senderMember{}, retryAfterByDest: map[int]time.Time{},
	}
	if fault == "slots" {
		s.slots = make(chan struct{}, 1000)
	}
	for _, c := range cfg.Settings.Categories {
		s.classes[c.Name], s.windows[c.Name] = c.Effect, time.Duration(c.Window*float64(time.Millisecond))
	}
	s.updateMembers(cfg.Known)
	if fault != "drain" {
		go s.watchList(cfg.Known.Revision)
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	for {
		nc, err := ln.Accept()
		if err != nil {
			return err
		}
		go s.serveClient(nc)
	}
}

func (s *sender) updateMembers(l senderList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range l.Members {
		s.members[m.ID] = m
	}
}

func (s *sender) watchList(after int64) {
	for ; ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get(fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", s.discovery, after))
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			var l senderList
			if json.Unmarshal(lines.Bytes(), &l) == nil {
				s.updateMembers(l)
				after = l.Revision
			}
		}
		resp.Body.Close()
	}
}

func (s *sender) serveClient(nc net.Conn) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		var words []string
		n := 0
		if _, err := fmt.Fscanf(r, "*%d\r\n", &n); err != nil {
			return
		}
		for range n {
			size := 0
			if _, err := fmt.Fscanf(r, "$%d\r\n", &size); err != nil {
				return
			}
			word := make([]byte, size+2)
			if _, err := io.ReadFull(r, word); err != nil {
				return
			}
			words = append(words, string(word[:size]))
		}
		if len(words) == 5 {
			m := senderMessage{id: words[2], body: []byte(words[4])}
			for f := range strings.SplitSeq(words[3], ",") {
				name, v, _ := strings.Cut(f, "=")
				switch name {
				case "c":
					m.class = v
				case "k":
					m.key = v
				case "dest":
					m.dest, _ = strconv.Atoi(v)
				case "d":
					ms, _ := strconv.Atoi(v)
					m.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
				}
			}
			switch s.fault {
			case "answer":
				return
			case "alive":
				os.Exit(4)
			}
			go s.deliver(m)
			io.WriteString(nc, "+OK\r\n")
			continue
		}
		io.WriteString(nc, "+PONG\r\n")
	}
}

func (s *sender) sendNotice(m senderMessage, state string) {
	raw, _ := json.Marshal(map[string]string{"id": m.id, "state": state})
	if resp, err := http.Post("http://"+s.discovery+"/reports", "application/json", bytes.NewReader(append(raw, '\n'))); err == nil {
		resp.Body.Close()
	}
}

// pickEndpoint picks an endpoint of the destination and returns the time before which it must not be called.
func (s *sender) pickEndpoint(dest int) (senderMember, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var in []senderMember
	for _, m := range s.members {
		if m.Cell == dest && m.Phase == "SERVING" {
			in = append(in, m)
		}
	}
	if len(in) == 0 {
		return senderMember{}, time.Time{}
	}
	slices.SortFunc(in, func(a, b senderMember) int { return strings.Compare(a.ID, b.ID) })
	return in[0], s.retryAfterByDest[dest]
}

// deliver processes a message until it has its final answer.
func (s *sender) deliver(m senderMessage) {
	most := 6
	switch s.fault {
	case "one-end":
		return
	case "foreign":
		m.dest = (m.dest + 1) % 2
	case "attempts":
		most = 9
	case "over":
		s.sendNotice(m, "failed")
		time.Sleep(50 * time.Millisecond)
	case "one-copy":
		go s.call(m)
	case "cold":
		go func() {
			for range 40 {
				if e, _ := s.pickEndpoint(m.dest); e.Addr != "" {
					if resp, err := s.client.Get("http://" + e.Addr + "/health/live"); err == nil {
						resp.Body.Close()
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	var mayHaveRun time.Time
	for range most {
		sent := time.Now()
		done, ran := s.call(m)
		if done {
			return
		}
		if ran && mayHaveRun.IsZero() {
			mayHaveRun = sent
		}
		pause := 20 * time.Millisecond
		if !mayHaveRun.IsZero() {
			switch {
			case s.classes[m.class] == "at_most_once" && s.fault != "once":
				s.sendNotice(m, "failed")
				return
			case s.classes[m.class] == "deduplicated" && s.fault == "window":
				pause = s.windows[m.class] + 200*time.Millisecond
			case s.classes[m.class] == "deduplicated" && time.Since(mayHaveRun)+pause > s.windows[m.class]-100*time.Millisecond:
				s.sendNotice(m, "failed")
				return
			}
		}
		time.Sleep(pause)
		if time.Until(m.deadline) < 50*time.Millisecond {
			break
		}
	}
	s.sendNotice(m, "failed")
}

// call makes one attempt. It reports whether the message is done and whether it may have run.
func (s *sender) call(m senderMessage) (done, mayHaveRun bool) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	var e senderMember
	for {
		var wait time.Time
		e, wait = s.pickEndpoint(m.dest)
		if time.Until(m.deadline) < 10*time.Millisecond {
			return false, false
		}
		if e.Addr != "" && (time.Now().After(wait) || s.fault == "wait") {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	ctx, cancel := context.WithDeadline(context.Background(), m.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Addr+"/v1/messages", bytes.NewReader(m.body))
	if err != nil {
		return false, false
	}
	req.GetBody = nil // keeps the HTTP client from sending it again
	req.Header.Set("X-Trace-Id", m.id)
	if m.key != "" {
		req.Header.Set("Idempotency-Key", m.key)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		var op *net.OpError
		return false, !errors.As(err, &op) || op.Op != "dial"
	}
	io.Copy(io.Discard, resp.Body) // to an observer, a connection closed with unread data looks as if it was closed before the answer arrived
	resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return true, true
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if sec, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			s.mu.Lock()
			s.retryAfterByDest[m.dest] = time.Now().Add(time.Duration(sec * float64(time.Second)))
			s.mu.Unlock()
		}
		return false, false
	}
	return false, true
}
