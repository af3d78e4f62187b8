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
	"starlingusher/internal/sysretry"
)

// Parts of the play's block of loopback addresses, by the third byte; replicas have 253 and 254.
const (
	operatorHost = 252
	zoneHost     = 240 // for the first zone, and one more for each further zone
	realHost     = 1
)

const (
	serviceTimeout     = 20 * time.Second
	listWriteTimeout   = 20 * time.Second // for a write of a complete list
	changeWriteTimeout = 3 * time.Second  // for a write of a few endpoints
	retryPause         = 50 * time.Millisecond
)

// service is the directory of a play: replicas in their own processes, and the client that writes to them.
// Its owner must call close.
type service struct {
	supervisor *proc.Supervisor
	block      *block.Block
	replicas   []*replica.Replica
	client     *http.Client
	links      [][]*relay.Link // of each zone to each replica; nil: connect to the replicas directly
}

// openService starts replicas, and returns once all of them vote and have the list.
func openService(ctx context.Context, s play.Spec, replicas int, linked bool, list []catalog.Endpoint) (*service, error) {
	return openServiceWith(ctx, s, "", replicas, linked, list)
}

// openServiceWith is openService with further settings of the replicas, in TOML.
func openServiceWith(ctx context.Context, s play.Spec, settings string, replicas int, linked bool, list []catalog.Endpoint) (svc *service, err error) {
	svc = &service{supervisor: proc.NewSupervisor()}
	defer func() {
		if err != nil {
			svc.close()
		}
	}()
	if svc.block, err = block.Reserve(); err != nil {
		return svc, err
	}
	// Writes come from an address of their own, so that readTraffic does not count them as nodes' traffic.
	dial := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(svc.ownAddr())}}
	svc.client = &http.Client{Timeout: listWriteTimeout, Transport: &http.Transport{DialContext: dial.DialContext, MaxIdleConnsPerHost: 64}}
	o := replica.Options{Command: []string{s.LabProgram, "directory", "serve"}, Dir: filepath.Join(s.Dir, "directory"), Block: svc.block, Supervisor: svc.supervisor, Seed: s.Seed, Settings: settings}
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
		if err := svc.openLinks(s.Seed); err != nil {
			return svc, err
		}
	}
	if err := awaitEvery(ctx, requestPollInterval, "the directory", func() bool { return svc.voterCount(ctx) == replicas }); err != nil {
		return svc, err
	}
	revision, err := svc.write(ctx, list, true)
	if err != nil {
		return svc, err
	}
	return svc, svc.awaitReplicas(ctx, revision)
}

// openLinks gives each zone its own links to the replicas.
func (s *service) openLinks(seed uint64) error {
	for zone := range zones {
		var row []*relay.Link
		for i, r := range s.replicas {
			l, err := relay.Listen(fmt.Sprintf("%s:%d", s.block.IP(zoneHost+zone, i+1), 8600), seed+uint64(100*zone+i), relay.DialTo(r.OwnAddr(replica.HTTP)), func(time.Duration) {})
			if err != nil {
				return err
			}
			row = append(row, l)
		}
		s.links = append(s.links, row)
	}
	return nil
}

// addresses returns where the nodes of a zone reach the replicas.
func (s *service) addresses(zone int) []string {
	var all []string
	for i, r := range s.replicas {
		addr := r.OwnAddr(replica.HTTP)
		if s.links != nil {
			addr = s.links[zone][i].Addr()
		}
		all = append(all, addr)
	}
	return all
}

// ownAddr returns the source address of the play's own requests.
func (s *service) ownAddr() string { return s.block.IP(operatorHost, 1) }

// allAddresses returns all addresses at which nodes reach replicas.
func (s *service) allAddresses() map[string]bool {
	all := map[string]bool{}
	for zone := range zones {
		for _, a := range s.addresses(zone) {
			all[a] = true
		}
	}
	return all
}

func (s *service) operator(replicas ...*replica.Replica) *directory.AdminClient {
	op := &directory.AdminClient{By: "scale", RetryFor: serviceTimeout, HTTPClient: s.client}
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

// voterCount returns the number of voters that the leader counts, 0 while there is no leader.
func (s *service) voterCount(ctx context.Context) int {
	voters := 0
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
				voters++
			}
		}
	}
	return voters
}

// leaderIndex returns the index of the leader, -1 if there is none.
func (s *service) leaderIndex(ctx context.Context) int {
	for i, r := range s.replicas {
		if st, err := s.status(ctx, r); err == nil && st.Leader == st.ID {
			return i
		}
	}
	return -1
}

// awaitReplicas waits until all replicas have a revision.
func (s *service) awaitReplicas(ctx context.Context, revision int64) error {
	return awaitEvery(ctx, requestPollInterval, fmt.Sprintf("revision %d at all replicas", revision), func() bool {
		for _, r := range s.replicas {
			if st, err := s.status(ctx, r); err != nil || st.Revision < revision {
				return false
			}
		}
		return true
	})
}

// encodeMembers encodes the body of a write.
func encodeMembers(members []catalog.Endpoint) ([]byte, error) {
	return json.Marshal(map[string]any{"members": append([]catalog.Endpoint{}, members...)})
}

// write writes endpoints, and returns the revision that this made. A write with an unknown outcome is
// repeated, which changes nothing if it was done.
func (s *service) write(ctx context.Context, members []catalog.Endpoint, complete bool) (int64, error) {
	raw, err := encodeMembers(members)
	if err != nil {
		return 0, err
	}
	return s.send(ctx, raw, complete)
}

// send is write with an encoded body. If a replica does not answer, because it is stopped for example, the
// next one is tried: directory.AdminClient never repeats a write whose outcome is unknown.
func (s *service) send(ctx context.Context, body []byte, complete bool) (int64, error) {
	method, timeout := http.MethodPost, changeWriteTimeout
	if complete {
		method, timeout = http.MethodPut, listWriteTimeout
	}
	ctx, cancel := context.WithTimeoutCause(ctx, waitTimeout, fmt.Errorf("a write was not done within %v", waitTimeout))
	defer cancel()
	tryOnce := func(op *directory.AdminClient) ([]byte, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		answer, _, err := op.Do(ctx, method, "/registry/instances?confirm=1", "*", body)
		return answer, err
	}
	for try := 0; ; try++ {
		first := try % len(s.replicas)
		answer, err := tryOnce(s.operator(slices.Concat(s.replicas[first:], s.replicas[:first])...))
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
		sysretry.Sleep(ctx, retryPause)
	}
}

// replicaUse is the use of resources by each replica's process.
type replicaUse struct{ rss, cpu []float64 }

func (s *service) readUse() (replicaUse, error) {
	var u replicaUse
	for _, r := range s.replicas {
		resident, err := rss(r.Process().PID())
		if err != nil {
			return u, err
		}
		used, err := cpuSeconds(r.Process().PID())
		if err != nil {
			return u, err
		}
		u.rss, u.cpu = append(u.rss, resident), append(u.cpu, used)
	}
	return u, nil
}

// cpuSince returns the CPU time of each replica since an earlier reading.
func (u replicaUse) cpuSince(before replicaUse) []float64 {
	delta := make([]float64, len(u.cpu))
	for i := range delta {
		delta[i] = u.cpu[i] - before.cpu[i]
	}
	return delta
}

// refusedRequests returns how many requests the replicas have refused, from their own metrics.
func (s *service) refusedRequests(ctx context.Context) (float64, error) {
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
					return 0, fmt.Errorf("metrics of a replica: %w", err)
				}
				total += n
			}
		}
	}
	return total, nil
}

// close stops the processes and the links, in whatever state the service is.
func (s *service) close() {
	s.supervisor.Close()
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
