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
	partnerPort = 10000
)

// loadExperiment is the experiment that the load on the real nodes is drawn from: calm, with partners that
// have room.
const loadExperiment = `
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

// load is the lab's clients of the real nodes, and the partners that their messages go to. Its owner must
// call close.
type load struct {
	plan     experiment.Plan
	log      *observe.Log
	clients  *standin.Clients
	partners []*standin.Partner
	list     []catalog.Endpoint // of the partners; their cells are below firstDest
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// openLoad starts the partners. The real nodes then need the plan's settings.
func openLoad(s play.Spec, service *service, real int) (l *load, err error) {
	f, err := experiment.Parse(fmt.Appendf(nil, loadExperiment, s.Settings["load"]))
	if err != nil {
		return nil, err
	}
	l = &load{plan: f.DrawPlan(s.Seed, real), log: observe.NewLog()}
	l.clients = standin.NewClients(&l.plan, func(n int) string { return realNodeAddr(service, n, clientPort) }, func(int) bool { return true }, l.log)
	for i, plan := range l.plan.Partners {
		partner := standin.NewPartner(i, plan.Config, plan.Seed, 1, l.plan.Rules.ConnIdleTimeout, l.log, l.clients.RecordReached)
		l.partners = append(l.partners, partner)
		for number, zone := range plan.Zones {
			addr := net.JoinHostPort(service.block.IP(partnerHost, i+1), strconv.Itoa(partnerPort+number))
			e, err := partner.AddEndpoint(fmt.Sprintf("p-%d-%d", i, number), zone, func(int) string { return addr }) // one link for all nodes
			if err != nil {
				l.close()
				return nil, err
			}
			l.list = append(l.list, catalog.Endpoint{
				ID: e.ID, Addr: e.Addr(0), Locality: zones[zone], Flavor: l.plan.PartnerKinds[plan.Kind], Cell: i, Phase: catalog.Serving, Size: plan.TotalRate(),
			})
		}
	}
	return l, nil
}

// settings returns the settings of the nth real node.
func (l *load) settings(n int) (json.RawMessage, error) { return l.plan.Settings(n) }

// start starts the clients.
func (l *load) start() {
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(context.Background())
	l.log.Start()
	for _, p := range l.partners {
		p.CatchUp()
	}
	l.wg.Go(func() { l.clients.Run(ctx) })
}

// close stops the clients and the partners.
func (l *load) close() {
	if l.cancel != nil {
		l.cancel()
	}
	l.wg.Wait()
	for _, p := range l.partners {
		p.Close()
	}
}

// readCounts sets the counts of the load so far.
func (l *load) readCounts(r *play.Reading) {
	accepted, answered := 0, 0
	for _, e := range l.log.Events() {
		if e.Kind == history.Answered {
			answered++
			if e.State == history.Taken {
				accepted++
			}
		}
	}
	r.SetCount("load.asked", float64(answered))
	r.SetCount("load.taken", float64(accepted))
	r.SetCount("load.delivered", float64(l.log.CountKind(history.Executed)))
	r.SetCount("load.seconds", l.log.Now().Round(time.Millisecond).Seconds())
}
