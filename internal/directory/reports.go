package directory

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	maxNoticeFileBytes = 256 << 20 // bytes after which a new file of notices is started
	noticeTimeout      = 2 * time.Second
	noticeFileName     = "reports.jsonl"
	rotatedNoticeFile  = "reports-%d.jsonl" // Unix ms when its successor was started
)

// noticeSink receives the notices of nodes about the ends of messages. It forwards them, or stores them in
// the folder. The sender keeps its notices until they are acknowledged.
type noticeSink struct {
	forwardTo string
	client    *http.Client
	dir       string

	mu   sync.Mutex
	file *os.File // nil if notices are forwarded
	size int64
}

func openNoticeSink(r *Replica) (*noticeSink, error) {
	s := &noticeSink{forwardTo: r.cfg.Reports.ForwardTo, client: r.peerClient, dir: r.cfg.Data}
	if s.forwardTo == "" {
		s.forwardTo = r.cfg.Source.Discovery
	}
	if s.forwardTo != "" {
		return s, nil
	}
	return s, s.open()
}

func (s *noticeSink) open() error {
	f, err := os.OpenFile(filepath.Join(s.dir, noticeFileName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("notices: %w", err)
	}
	info, err := f.Stat()
	if err != nil {
		f.Close()
		return fmt.Errorf("notices: %w", err)
	}
	s.file, s.size = f, info.Size()
	return nil
}

func (s *noticeSink) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}

// validateNotices checks that a body consists of notices, one JSON object per line.
func validateNotices(raw []byte) error {
	n := 0
	for line := range bytes.Lines(raw) {
		n++
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var notice struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		if err := json.Unmarshal(line, &notice); err != nil || notice.ID == "" || notice.State == "" {
			return fmt.Errorf(`line %d is not a notice with "id" and "state"`, n)
		}
	}
	return nil
}

// store returns once the notices have been accepted elsewhere or are on disk.
func (s *noticeSink) store(ctx context.Context, raw []byte) error {
	if s.forwardTo != "" {
		return s.forward(ctx, raw)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.size > maxNoticeFileBytes {
		moved := filepath.Join(s.dir, fmt.Sprintf(rotatedNoticeFile, time.Now().UnixMilli()))
		if err := errors.Join(s.file.Close(), os.Rename(filepath.Join(s.dir, noticeFileName), moved), s.open()); err != nil {
			return fmt.Errorf("notices: %w", err)
		}
	}
	if len(raw) > 0 && raw[len(raw)-1] != '\n' {
		raw = append(raw, '\n')
	}
	if _, err := s.file.Write(raw); err != nil { // cuts off a partial line, so that the next notice starts on a line of its own
		s.file.Truncate(s.size)
		return fmt.Errorf("notices: %w", err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("notices: %w", err)
	}
	s.size += int64(len(raw))
	return nil
}

func (s *noticeSink) forward(ctx context.Context, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.forwardTo+"/reports", bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("notices: %w", err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return fmt.Errorf("notices: %w", err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20))
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("notices: %s", resp.Status)
	}
	return nil
}

func (s *Server) serveNotices(w http.ResponseWriter, req *http.Request) {
	raw, ok := readBody(w, req, maxBodyBytes)
	if !ok {
		return
	}
	if err := validateNotices(raw); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if err := s.notices.store(req.Context(), raw); err != nil {
		writeRetryLater(w, time.Second, singleLine(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
