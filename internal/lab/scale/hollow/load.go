package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/experiment"
	"starlingusher/fleet/history"
	"starlingusher/internal/lab/observe"
	"starlingusher/internal/lab/scale/play"
	"starlingusher/internal/lab/standin"
)

const (
	partnerHost = 239 // third byte of the partners' addresses
	loadPartner = 10000
)

// loadText is the experiment that the load on real nodes is drawn from: a calm day for partners that have room.
const loadText = `
name = "load"
length = "10m"
[fleet]
zones = ["a1", "a2", "b1", "b2", "c1", "c2"]
[load]
rate = %v
[[class]]
name = "status"
share = 1
aim = "1s"
deadline = "8s"
worth = 1
effect = "safe"
[[partner]]
kind = "m2"
count = 6
endpoints = 2
pace = "10ms"
spread = 0
limit = "none"
`

// load is the lab's clients on the real nodes, and partners for what they hand in. Its maker owns it, until close.
type load struct {
	plan     experiment.Plan
	log      *observe.Log
	clients  *standin.Clients
	partners []*standin.Partner
	list     []catalog.Endpoint // the partners' endpoints; their cells are below those of endpoint
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// openLoad makes the partners. The plan's settings are then the real nodes'.
func openLoad(s play.Spec, svc *service, real int) (l *load, err error) {
	f, err := experiment.Parse(fmt.Appendf(nil, loadText, s.Settings["load"]))
	if err != nil {
		return nil, err
	}
	l = &load{plan: f.DrawPlan(s.Seed, real), log: observe.NewLog()}
	l.clients = standin.NewClients(&l.plan, func(n int) string { return realAddress(svc, n, realPort) }, func(int) bool { return true }, l.log)
	for i, q := range l.plan.Partners {
		p := standin.NewPartner(i, q.Config, q.Seed, 1, l.plan.Rules.ConnIdleTimeout, l.log, l.clients.RecordReached)
		l.partners = append(l.partners, p)
		for n, zone := range q.Zones {
			at := net.JoinHostPort(svc.block.IP(partnerHost, i+1), strconv.Itoa(loadPartner+n))
			e, err := p.AddEndpoint(fmt.Sprintf("p-%d-%d", i, n), zone, func(int) string { return at }) // one link for all nodes
			if err != nil {
				l.close()
				return nil, err
			}
			l.list = append(l.list, catalog.Endpoint{
				ID: e.ID, Addr: e.Addr(0), Locality: zones[zone], Flavor: l.plan.PartnerKinds[q.Kind], Cell: i, Phase: catalog.Serving, Size: q.TotalRate(),
			})
		}
	}
	return l, nil
}

// settings are a real node's.
func (l *load) settings(n int) (json.RawMessage, error) { return l.plan.Settings(n) }

// begin lets the clients come.
func (l *load) begin() {
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(context.Background())
	l.log.Start()
	for _, p := range l.partners {
		p.CatchUp()
	}
	l.wg.Go(func() { l.clients.Run(ctx) })
}

// close ends the clients and the partners.
func (l *load) close() {
	if l.cancel != nil {
		l.cancel()
	}
	l.wg.Wait()
	for _, p := range l.partners {
		p.Close()
	}
}

// read tells what has become of the load so far.
func (l *load) read(r *play.Reading) {
	taken, asked := 0, 0
	for _, e := range l.log.Events() {
		if e.Kind == history.Answered {
			asked++
			if e.State == history.Taken {
				taken++
			}
		}
	}
	r.SetCount("load.asked", float64(asked))
	r.SetCount("load.taken", float64(taken))
	r.SetCount("load.delivered", float64(l.log.CountKind(history.Executed)))
	r.SetCount("load.seconds", l.log.Now().Round(time.Millisecond).Seconds())
}
