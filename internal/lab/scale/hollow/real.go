package hollow

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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
	realNodes = 8
	realPort  = 6379
	adminPort = 9100
	askTime   = 2 * time.Second
)

// realNode is a coralyard process. Its supervisor ends it.
type realNode struct {
	spec    Spec
	program string
	sup     *proc.Supervisor
	log     *os.File
	p       *proc.Process
}

// realAddress is an address of a real node, by its place among the real ones.
func realAddress(svc *service, n, port int) string {
	return fmt.Sprintf("%s:%d", svc.block.IP(realHost, n+1), port)
}

// newReal makes a real node's files. It does not start yet.
func newReal(spec Spec, program string, sup *proc.Supervisor) (*realNode, error) {
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
	return &realNode{spec: spec, program: program, sup: sup, log: log}, nil
}

func (r *realNode) start() error {
	p, err := r.sup.Start(proc.Spec{
		Name: r.spec.Name, Command: []string{r.program}, MaxDescriptors: realSockets, Output: r.log,
		Env: []string{
			"PATH=" + os.Getenv("PATH"), "ROUTER_NAME=" + r.spec.Name, "ROUTER_LISTEN=" + r.spec.Listen, "ROUTER_DISCOVERY=" + r.spec.Addresses[0],
			"ROUTER_STATE=" + r.spec.state(), "ROUTER_CONFIG=" + r.spec.config(), "ROUTER_FLEET=" + r.spec.fleet(),
			"TMPDIR=" + filepath.Join(r.spec.Dir, "tmp"),
		},
	})
	if err == nil {
		r.p = p
	}
	return err
}

// kill ends it at once.
func (r *realNode) kill() error {
	err := r.p.Signal(syscall.SIGKILL)
	<-r.p.Done()
	return err
}

// close lets go of its log; its process must have ended.
func (r *realNode) close() { r.log.Close() }

// admin is a client of operators' addresses, which take one call a connection.
var admin = &http.Client{Timeout: askTime, Transport: &http.Transport{DisableKeepAlives: true}}

// listed is how many endpoints are in force at the node, as it tells its operators.
func (r *realNode) listed(ctx context.Context) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.spec.Admin+"/-/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := admin.Do(req)
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
	return 0, errors.Join(lines.Err(), fmt.Errorf("%s tells no size of its list", r.spec.Name))
}

// answers tells whether it answers clients.
func (r *realNode) answers() bool {
	nc, err := net.DialTimeout("tcp", r.spec.Listen, askTime)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(askTime))
	if _, err := io.WriteString(nc, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return false
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}
