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

// partners is one HTTP server for all endpoints of the trial, each at its own address. It records the messages
// that run. The simulated partners of the experiments are not used: their service models, rate limits and links
// per node do not matter to the ownership of destinations.
type partners struct {
	trial     *ownershipTrial
	server    *http.Server
	serving   sync.WaitGroup
	addresses []string // host:port, by index of the endpoint
}

// openPartners starts the server with addresses for count endpoints.
func (t *ownershipTrial) openPartners(count int) (*partners, error) {
	p := &partners{trial: t}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: 30 * time.Second, IdleTimeout: 10 * time.Second}
	for i := range count {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", t.block.IP(partnerHost, i+1), partnerPort))
		if err != nil {
			p.close()
			return nil, fmt.Errorf("listen as a partner: %w", err)
		}
		p.addresses = append(p.addresses, ln.Addr().String())
		p.serving.Go(func() {
			if err := p.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				t.ownershipOptions.Log.Error("partner server failed", "err", err)
			}
		})
	}
	return p, nil
}

func (p *partners) close() {
	p.server.Close()
	p.serving.Wait()
}

// serve records the run of a message, waits for the answer delay of its ID, and answers 200.
func (p *partners) serve(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		return // a health probe
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get("X-Trace-Id")
	p.trial.recordEnd(id, RanAtPartner)
	timer := time.NewTimer(p.trial.answerDelay(id))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-req.Context().Done():
		return
	}
	p.trial.recordEnd(id, AnsweredByPartner)
	io.WriteString(w, "ok\n")
}
