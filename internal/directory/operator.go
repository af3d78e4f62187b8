package directory

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/sysretry"
)

// AdminClient sends requests to any replica that responds.
type AdminClient struct {
	Addresses  []string
	By         string        // who sends the requests, for the change history
	Reason     string        // for the change history
	RetryFor   time.Duration // how long to try for a replica that can serve the request; 0: one try at each
	HTTPClient *http.Client  // nil: http.DefaultClient

	current int // index of the address that responded last
}

// ResponseError is an error response of the service.
type ResponseError struct {
	StatusCode int
	Message    string
	Outcome    string
	Revision   int64
	Held       int64
}

func (e *ResponseError) Error() string { return e.Message }

// Unwrap maps the response to ErrAmbiguous, ErrRefused or an error of package catalog.
func (e *ResponseError) Unwrap() error {
	switch {
	case e.Outcome == "unknown":
		return ErrAmbiguous
	case e.StatusCode == http.StatusPreconditionFailed:
		return catalog.ErrConflict
	case e.StatusCode == http.StatusAccepted:
		return catalog.ErrHeld
	case e.StatusCode == http.StatusNotFound:
		return catalog.ErrNotFound
	case e.StatusCode == http.StatusConflict:
		return catalog.ErrNotHolder
	case e.StatusCode == http.StatusBadRequest:
		return catalog.ErrInvalid
	case e.StatusCode == http.StatusInsufficientStorage: // a retry would not help
		return catalog.ErrFull
	}
	return ErrRefused
}

const retryPause = 100 * time.Millisecond

// Do sends a request to one replica after another until one serves it, and returns the response body. It does
// not repeat a write with an ambiguous outcome.
func (c *AdminClient) Do(ctx context.Context, method, path, match string, body []byte) ([]byte, http.Header, error) {
	if len(c.Addresses) == 0 {
		return nil, nil, fmt.Errorf("%w: no replica address", ErrRefused)
	}
	deadline := time.Now().Add(c.RetryFor)
	for {
		var errs []error
		for range c.Addresses {
			address := c.Addresses[c.current%len(c.Addresses)]
			raw, header, err := c.send(ctx, address, method, path, match, body)
			if err == nil || !errors.Is(err, ErrRefused) || ctx.Err() != nil {
				return raw, header, err
			}
			errs = append(errs, fmt.Errorf("%s: %w", address, err))
			c.current++
		}
		if time.Now().After(deadline) || !sysretry.Sleep(ctx, retryPause) {
			return nil, nil, errors.Join(errs...)
		}
	}
}

func (c *AdminClient) send(ctx context.Context, address, method, path, match string, body []byte) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for name, v := range map[string]string{"If-Match": match, "Registry-By": c.By, "Registry-Why": c.Reason} {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		var dial *net.OpError
		if method == http.MethodGet || errors.As(err, &dial) && dial.Op == "dial" {
			return nil, nil, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return nil, nil, fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBackupBytes))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	if resp.StatusCode/100 == 2 && resp.StatusCode != http.StatusAccepted {
		return raw, resp.Header, nil
	}
	var problem errorBody
	if json.Unmarshal(raw, &problem) != nil || problem.Error == "" {
		problem.Error = resp.Status
	}
	return nil, resp.Header, &ResponseError{resp.StatusCode, problem.Error, problem.Outcome, problem.Revision, problem.Held}
}

// call sends a request with a JSON body and decodes the response.
func (c *AdminClient) call(ctx context.Context, v any, method, path, match string, body any) error {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return err
		}
	}
	raw, _, err := c.Do(ctx, method, path, match, raw)
	if err != nil || v == nil {
		return err
	}
	return json.Unmarshal(raw, v)
}

// Status returns the status of one replica.
func (c *AdminClient) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, &status, http.MethodGet, "/directory/status", "", nil)
}

// List reads the complete list, and the If-Match value for a write that is based on it. A fresh list includes
// every write acknowledged before; otherwise it is what some replica has.
func (c *AdminClient) List(ctx context.Context, fresh bool) (catalog.List, string, http.Header, error) {
	path := "/registry/instances"
	if fresh {
		path += "?fresh=1"
	}
	raw, header, err := c.Do(ctx, http.MethodGet, path, "", nil)
	if err != nil {
		return catalog.List{}, "", header, err
	}
	var l catalog.List
	if err := json.Unmarshal(raw, &l); err != nil {
		return l, "", header, fmt.Errorf("decoding the list: %w", err)
	}
	return l, header.Get("ETag"), header, nil
}

// WriteResult is the response to a write.
type WriteResult struct {
	Revision int64 `json:"revision"`
	Token    int64 `json:"token"`
}

// Put writes endpoints, and removes those of phase Deleted; with whole it removes all others as well. match
// is the If-Match value.
func (c *AdminClient) Put(ctx context.Context, members []catalog.Endpoint, replace, confirm bool, match string) (WriteResult, error) {
	method, path := http.MethodPost, "/registry/instances"
	if replace {
		method = http.MethodPut
	}
	if confirm {
		path += "?confirm=1"
	}
	var w WriteResult
	return w, c.call(ctx, &w, method, path, match, map[string]any{"members": append([]catalog.Endpoint{}, members...)})
}

// Drain drains an endpoint, whatever else has changed.
func (c *AdminClient) Drain(ctx context.Context, id string) (WriteResult, error) {
	var w WriteResult
	return w, c.call(ctx, &w, http.MethodPost, "/registry/instances/"+url.PathEscape(id)+"/drain", "*", nil)
}

// Confirm applies the held write with a number, or drops it.
func (c *AdminClient) Confirm(ctx context.Context, number int64, drop bool) error {
	path := "/directory/held/" + strconv.FormatInt(number, 10)
	if drop {
		path += "?drop=1"
	}
	return c.call(ctx, nil, http.MethodPost, path, "", nil)
}

// ChangeHistory holds consecutive changes of the list.
type ChangeHistory struct {
	History  int64            `json:"history"`
	Revision int64            `json:"revision"`
	All      bool             `json:"all"` // no requested change had already been discarded
	Changes  []catalog.Change `json:"changes"`
}

// History reads changes after a revision, or the latest ones if it is negative.
func (c *AdminClient) History(ctx context.Context, after int64, limit int) (ChangeHistory, error) {
	var history ChangeHistory
	return history, c.call(ctx, &history, http.MethodGet, fmt.Sprintf("/directory/history?after=%d&limit=%d", after, limit), "", nil)
}

// Backup reads and verifies a backup of the state: of the current state if fresh, else of what some replica
// has.
func (c *AdminClient) Backup(ctx context.Context, fresh bool) ([]byte, catalog.Image, error) {
	path := "/directory/backup"
	if fresh {
		path += "?fresh=1"
	}
	raw, _, err := c.Do(ctx, http.MethodGet, path, "", nil)
	if err != nil {
		return nil, catalog.Image{}, err
	}
	image, err := DecodeBackup(bytes.NewReader(raw))
	return raw, image, err
}

// Restore replaces the list and the records by those of a backup, in a new history.
func (c *AdminClient) Restore(ctx context.Context, raw []byte) (WriteResult, error) {
	if _, err := DecodeBackup(bytes.NewReader(raw)); err != nil {
		return WriteResult{}, err
	}
	response, _, err := c.Do(ctx, http.MethodPost, "/directory/restore", "", raw)
	if err != nil {
		return WriteResult{}, err
	}
	var w WriteResult
	return w, json.Unmarshal(response, &w)
}

// AddReplica allows a replica to join the service.
func (c *AdminClient) AddReplica(ctx context.Context, r catalog.Replica) error {
	return c.call(ctx, nil, http.MethodPut, "/directory/members/"+url.PathEscape(r.ID), "", r)
}

// RemoveReplica removes a replica from the service.
func (c *AdminClient) RemoveReplica(ctx context.Context, id string) error {
	return c.call(ctx, nil, http.MethodDelete, "/directory/members/"+url.PathEscape(id), "", nil)
}

// Diff returns the endpoints that a write would change, as they would become, sorted by ID.
func Diff(current, target []catalog.Endpoint, replace bool) []catalog.Endpoint {
	former := map[string]catalog.Endpoint{}
	for _, m := range current {
		former[m.ID] = m
	}
	var out []catalog.Endpoint
	for _, m := range target {
		old, listed := former[m.ID]
		if old != m && (m.Phase != catalog.Deleted || listed) {
			out = append(out, m)
		}
		delete(former, m.ID)
	}
	if replace {
		for _, m := range former {
			m.Phase = catalog.Deleted
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
