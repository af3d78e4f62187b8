package hollow

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/directory"
	"starlingusher/internal/lab/block"
	"starlingusher/internal/lab/proc"
	"starlingusher/internal/lab/relay"
	"starlingusher/internal/lab/replica"
	"starlingusher/internal/lab/scale/play"
	"starlingusher/internal/registry"
)

// Parts of the play's block of loopback addresses, by the third byte; replicas have 253 and 254.
const (
	operatorHost = 252
	zoneHost     = 240 // and a further one for each zone
	realHost     = 1
)

const (
	serviceWait = 20 * time.Second
	listWait    = 20 * time.Second // for the answer to a write of a whole list
	changeWait  = 3 * time.Second  // and to one of a few endpoints
	tryAgain    = 50 * time.Millisecond
)

// service is the directory of a play: replicas as processes of their own, and the way to write to them. Its maker owns it, until
// close.
type service struct {
	sup      *proc.Supervisor
	block    *block.Block
	replicas []*replica.Replica
	client   *http.Client
	links    [][]*relay.Link // of each zone to each replica; nil: all reach the replicas without
}

// openService starts so many replicas, and returns when all of them vote and have the list.
func openService(ctx context.Context, s play.Spec, replicas int, linked bool, list []catalog.Endpoint) (*service, error) {
	return openServiceOf(ctx, s, "", replicas, linked, list)
}

// openServiceOf is openService with replicas of further settings, in TOML.
func openServiceOf(ctx context.Context, s play.Spec, settings string, replicas int, linked bool, list []catalog.Endpoint) (svc *service, err error) {
	svc = &service{sup: proc.NewSupervisor()}
	defer func() {
		if err != nil {
			svc.close()
		}
	}()
	if svc.block, err = block.Reserve(); err != nil {
		return svc, err
	}
	// Writes come from an address of their own, so that carried does not count them among the nodes'.
	dial := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(svc.from())}}
	svc.client = &http.Client{Timeout: listWait, Transport: &http.Transport{DialContext: dial.DialContext, MaxIdleConnsPerHost: 64}}
	o := replica.Options{Command: []string{s.LabProgram, "directory", "serve"}, Dir: filepath.Join(s.Dir, "directory"), Block: svc.block, Supervisor: svc.sup, Seed: s.Seed, Settings: settings}
	if linked {
		o.Conditions = &relay.Conditions{}
	}
	if svc.replicas, err = replica.New(replicas, o); err != nil {
		return svc, err
	}
	for _, r := range svc.replicas {
		if err := r.Start(); err != nil {
			return svc, err
		}
	}
	if linked {
		if err := svc.link(s.Seed); err != nil {
			return svc, err
		}
	}
	if err := awaitEvery(ctx, lookWide, "the directory", func() bool { return svc.voters(ctx) == replicas }); err != nil {
		return svc, err
	}
	revision, err := svc.write(ctx, list, true)
	if err != nil {
		return svc, err
	}
	return svc, svc.reached(ctx, revision)
}

// link gives each zone its own links to the replicas.
func (s *service) link(seed uint64) error {
	for z := range zones {
		var row []*relay.Link
		for i, r := range s.replicas {
			l, err := relay.Listen(fmt.Sprintf("%s:%d", s.block.IP(zoneHost+z, i+1), 8600), seed+uint64(100*z+i), relay.DialTo(r.OwnAddr(replica.HTTP)), func(time.Duration) {})
			if err != nil {
				return err
			}
			row = append(row, l)
		}
		s.links = append(s.links, row)
	}
	return nil
}

// addresses are where the nodes of a zone reach the replicas.
func (s *service) addresses(zone int) []string {
	var all []string
	for i, r := range s.replicas {
		at := r.OwnAddr(replica.HTTP)
		if s.links != nil {
			at = s.links[zone][i].Addr()
		}
		all = append(all, at)
	}
	return all
}

// from is where writes and other asks of the play itself come from.
func (s *service) from() string { return s.block.IP(operatorHost, 1) }

// places are all addresses that nodes reach replicas at.
func (s *service) places() map[string]bool {
	all := map[string]bool{}
	for z := range zones {
		for _, a := range s.addresses(z) {
			all[a] = true
		}
	}
	return all
}

func (s *service) operator(replicas ...*replica.Replica) *directory.AdminClient {
	op := &directory.AdminClient{By: "scale", RetryFor: serviceWait, HTTPClient: s.client}
	for _, r := range replicas {
		op.Addresses = append(op.Addresses, r.OwnAddr(replica.HTTP))
	}
	return op
}

func (s *service) status(ctx context.Context, r *replica.Replica) (directory.Status, error) {
	op := s.operator(r)
	op.RetryFor = 0
	return op.Status(ctx)
}

// voters is how many replicas the leader counts, 0 while there is none.
func (s *service) voters(ctx context.Context) int {
	n := 0
	for _, r := range s.replicas {
		st, err := s.status(ctx, r)
		if err != nil || st.Leader == "" {
			return 0
		}
		if st.Leader != st.ID {
			continue
		}
		for _, m := range st.Members {
			if m.Votes {
				n++
			}
		}
	}
	return n
}

// leader is the number of the replica that leads, -1 if none does.
func (s *service) leader(ctx context.Context) int {
	for i, r := range s.replicas {
		if st, err := s.status(ctx, r); err == nil && st.Leader == st.ID {
			return i
		}
	}
	return -1
}

// reached waits until all replicas have a revision.
func (s *service) reached(ctx context.Context, revision int64) error {
	return awaitEvery(ctx, lookWide, fmt.Sprintf("revision %d at all replicas", revision), func() bool {
		for _, r := range s.replicas {
			if st, err := s.status(ctx, r); err != nil || st.Revision < revision {
				return false
			}
		}
		return true
	})
}

// encode makes a write's body.
func encode(members []catalog.Endpoint) ([]byte, error) {
	return json.Marshal(map[string]any{"members": append([]catalog.Endpoint{}, members...)})
}

// write writes endpoints, and says what revision that made. One whose outcome is not known is written again, which changes nothing
// if it was done.
func (s *service) write(ctx context.Context, members []catalog.Endpoint, whole bool) (int64, error) {
	raw, err := encode(members)
	if err != nil {
		return 0, err
	}
	return s.send(ctx, raw, whole)
}

// send is write with a body that was encoded before. A replica that does not answer, as one that is stopped, is left for the next:
// an Operator sends nothing again whose outcome is not known.
func (s *service) send(ctx context.Context, raw []byte, whole bool) (int64, error) {
	method, answerIn := http.MethodPost, changeWait
	if whole {
		method, answerIn = http.MethodPut, listWait
	}
	ctx, cancel := context.WithTimeoutCause(ctx, longest, fmt.Errorf("a write was not done within %v", longest))
	defer cancel()
	once := func(op *directory.AdminClient) ([]byte, error) {
		ctx, cancel := context.WithTimeout(ctx, answerIn)
		defer cancel()
		answer, _, err := op.Do(ctx, method, "/registry/instances?confirm=1", "*", raw)
		return answer, err
	}
	for try := 0; ; try++ {
		first := try % len(s.replicas)
		answer, err := once(s.operator(slices.Concat(s.replicas[first:], s.replicas[:first])...))
		if err == nil {
			var w directory.WriteResult
			err = json.Unmarshal(answer, &w)
			return w.Revision, err
		}
		if cause := context.Cause(ctx); cause != nil {
			return 0, fmt.Errorf("%w: %w", cause, err)
		}
		if !errors.Is(err, directory.ErrAmbiguous) && !errors.Is(err, directory.ErrRefused) {
			return 0, err
		}
		registry.Sleep(ctx, tryAgain)
	}
}

// uses are of each replica's process.
type uses struct{ rss, cpu []float64 }

func (s *service) use() (uses, error) {
	var u uses
	for _, r := range s.replicas {
		held, err := rss(r.Process().PID())
		if err != nil {
			return u, err
		}
		used, err := cpu(r.Process().PID())
		if err != nil {
			return u, err
		}
		u.rss, u.cpu = append(u.rss, held), append(u.cpu, used)
	}
	return u, nil
}

// since is the processor time of each replica since an earlier look.
func (u uses) since(was uses) []float64 {
	d := make([]float64, len(u.cpu))
	for i := range d {
		d[i] = u.cpu[i] - was.cpu[i]
	}
	return d
}

// refused is how many asks the replicas have refused, by their own count.
func (s *service) refused(ctx context.Context) (float64, error) {
	total := 0.0
	for _, r := range s.replicas {
		raw, _, err := s.operator(r).Do(ctx, http.MethodGet, "/metrics", "", nil)
		if err != nil {
			return 0, err
		}
		lines := bufio.NewScanner(bytes.NewReader(raw))
		for lines.Scan() {
			if v, ok := strings.CutPrefix(lines.Text(), `directory_asks_total{result="refused"} `); ok {
				n, err := strconv.ParseFloat(v, 64)
				if err != nil {
					return 0, fmt.Errorf("figures of a replica: %w", err)
				}
				total += n
			}
		}
	}
	return total, nil
}

// close ends the processes and all else, in whatever state the service is.
func (s *service) close() {
	s.sup.Close()
	for _, row := range s.links {
		for _, l := range row {
			l.Close()
		}
	}
	for _, r := range s.replicas {
		r.Close()
	}
	if s.client != nil {
		s.client.CloseIdleConnections()
	}
	if s.block != nil {
		s.block.Close()
	}
}
