package experiment

import (
	"encoding/json"
	"fmt"
	"time"

	"starlingusher/fleet/judge"
)

type object = map[string]any

// Settings returns the settings object in the platform's configuration of a node.
func (p *Plan) Settings(node int) (json.RawMessage, error) {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	n := p.Nodes[node]
	effects := map[judge.Effect]string{judge.Safe: "idempotent", judge.Keyed: "deduplicated", judge.Unsafe: "at_most_once"}
	var classes, members []object
	for _, c := range p.Classes {
		classes = append(classes, object{
			"name": c.Name, "aim": ms(c.Aim), "deadline": ms(c.Deadline), "effect": effects[c.Effect], "group": "all",
			"lateWorth": c.LateWorth, "stream": false, "window": ms(c.Window), "worth": c.Worth,
		})
	}
	for _, m := range p.Members {
		members = append(members, object{"name": m.Name, "share": m.Share, "allowancePerS": m.Allowance})
	}
	batch, apart := make([]int, len(p.Kinds)), make([]bool, len(p.Kinds))
	for _, q := range p.Partners {
		batch[q.Kind] = max(batch[q.Kind], q.Model.Batch, 1)
	}
	raw, err := json.Marshal(object{
		"fleetSize": len(p.Nodes), "myNumber": node, "zone": n.Zone, "categories": classes, "customers": members,
		"failureDomains": p.Zones, "flavors": p.Kinds, "discovery": "pushed", "weights": "nominal", "worthBy": "request",
		"overShareWorth": OverShareWorth, "tick": 5.0, "kindOfService": "deliver",
		"report": object{"how": "silent", "fields": []string{}},
		"domain": object{
			"decay": "line", "kindBatch": batch, "separateRoutes": apart, "workers": n.Slots, "feeByZone": make([]float64, len(p.Zones)),
			"refusedPrice": 0.05,
		},
		"limits": object{
			"cancel": true, "connIdle": ms(p.Rules.ConnIdle), "dialTimeout": ms(p.Rules.DialTimeout), "maxAttempts": p.Rules.MaxAttempts,
			"maxOpen": n.MaxOpen, "maxRetryAfter": ms(p.Rules.MaxWait), "mayDuplicate": false, "probes": true, "retryAfter": true,
			"streamsPerConn": 1,
		},
		"contract": object{
			"coldFrom": p.Rules.ColdFrom, "fall": ms(p.Rules.Fall), "fallMultiple": p.Rules.FallMultiple, "graceToAnswer": 20.0,
			"mustAskIn": 10000.0, "stopSendingWithin": ms(p.Rules.DrainGrace), "warmWithin": ms(p.Rules.WarmWithin),
		},
	})
	if err != nil {
		return nil, fmt.Errorf("encode settings of node %d: %w", node, err)
	}
	return raw, nil
}
