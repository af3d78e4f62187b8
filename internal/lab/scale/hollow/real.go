package hollow

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"starlingusher/internal/lab/proc"
)

const (
	defaultRealNodes = 8
	clientPort       = 6379
	adminPort        = 9100
	requestTimeout   = 2 * time.Second
)

// realNode is a coralyard process. Its supervisor stops it.
type realNode struct {
	spec       Spec
	program    string
	supervisor *proc.Supervisor
	log        *os.File
	process    *proc.Process
}

// realNodeAddr returns an address of the nth real node.
func realNodeAddr(service *service, n, port int) string {
	return fmt.Sprintf("%s:%d", service.block.IP(realHost, n+1), port)
}

// newRealNode writes the files of a real node, which is not started yet.
func newRealNode(spec Spec, program string, supervisor *proc.Supervisor) (*realNode, error) {
	if err := spec.Write(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(spec.Dir, "tmp"), 0o700); err != nil {
		return nil, fmt.Errorf("folder of %s: %w", spec.Name, err)
	}
	log, err := os.Create(filepath.Join(spec.Dir, "log"))
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", spec.Name, err)
	}
	return &realNode{spec: spec, program: program, supervisor: supervisor, log: log}, nil
}

func (r *realNode) start() error {
	p, err := r.supervisor.Start(proc.Spec{
		Name: r.spec.Name, Command: []string{r.program}, MaxDescriptors: nodeSockets, Output: r.log,
		Env: []string{
			"PATH=" + os.Getenv("PATH"), "ROUTER_NAME=" + r.spec.Name, "ROUTER_LISTEN=" + r.spec.Listen, "ROUTER_DISCOVERY=" + r.spec.Addresses[0],
			"ROUTER_STATE=" + r.spec.stateDir(), "ROUTER_CONFIG=" + r.spec.configFile(), "ROUTER_FLEET=" + r.spec.fleetFile(),
			"TMPDIR=" + filepath.Join(r.spec.Dir, "tmp"),
		},
	})
	if err == nil {
		r.process = p
	}
	return err
}

// kill ends the process by SIGKILL and waits for its end.
func (r *realNode) kill() error {
	err := r.process.Signal(syscall.SIGKILL)
	<-r.process.Done()
	return err
}

// close closes the log file; the process must have ended.
func (r *realNode) close() { r.log.Close() }

// adminClient is for operators' addresses, which serve one request per connection.
var adminClient = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// endpointCount returns the number of endpoints in the node's list, from its metrics.
func (r *realNode) endpointCount(ctx context.Context) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.spec.Admin+"/-/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := adminClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "app.pool_size:"); ok {
			n, _, _ := strings.Cut(v, "|")
			return strconv.Atoi(n)
		}
	}
	return 0, errors.Join(lines.Err(), fmt.Errorf("%s has no app.pool_size in its metrics", r.spec.Name))
}
