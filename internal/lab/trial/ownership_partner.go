package trial

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// partners serve all endpoints, each at an address of its own, and note what runs. The stand-ins of the experiments have models,
// limits and links for each node: none of it matters to who owns a destination.
type partners struct {
	trial     *ownershipTrial
	server    *http.Server
	serving   sync.WaitGroup
	addresses []string // addresses, by number
}

func (t *ownershipTrial) openPartners(count int) (*partners, error) {
	p := &partners{trial: t}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: 30 * time.Second, IdleTimeout: 10 * time.Second}
	for i := range count {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", t.block.IP(partnerHost, i+1), partnerPort))
		if err != nil {
			p.close()
			return nil, fmt.Errorf("partner: %w", err)
		}
		p.addresses = append(p.addresses, ln.Addr().String())
		p.serving.Go(func() {
			if err := p.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				t.ownershipOptions.Log.Error("partner", "err", err)
			}
		})
	}
	return p, nil
}

func (p *partners) close() {
	p.server.Close()
	p.serving.Wait()
}

// serve takes a message, holds its answer if its ID asks for that, and says yes.
func (p *partners) serve(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		return // a probe of its health
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get("X-Trace-Id")
	p.trial.recordEnd(id, RanAtPartner)
	hold := time.NewTimer(p.trial.answerDelay(id))
	defer hold.Stop()
	select {
	case <-hold.C:
	case <-req.Context().Done():
		return
	}
	p.trial.recordEnd(id, AnsweredByPartner)
	io.WriteString(w, "ok\n")
}
