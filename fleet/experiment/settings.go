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
	effects := map[judge.Effect]string{judge.EffectIdempotent: "idempotent", judge.EffectDeduplicated: "deduplicated", judge.EffectAtMostOnce: "at_most_once"}
	var classes, members []object
	for _, c := range p.Classes {
		classes = append(classes, object{
			"name": c.Name, "aim": ms(c.SoftDeadline), "deadline": ms(c.Deadline), "effect": effects[c.Effect], "group": "all",
			"lateWorth": c.WorthAtDeadline, "stream": false, "window": ms(c.Window), "worth": c.Worth,
		})
	}
	for _, m := range p.Tenants {
		members = append(members, object{"name": m.Name, "share": m.Share, "allowancePerS": m.Allowance})
	}
	batch, separateRoutes := make([]int, len(p.PartnerKinds)), make([]bool, len(p.PartnerKinds))
	for _, q := range p.Partners {
		batch[q.Kind] = max(batch[q.Kind], q.Config.MaxBatch, 1)
	}
	raw, err := json.Marshal(object{
		"fleetSize": len(p.Nodes), "myNumber": node, "zone": n.Zone, "categories": classes, "customers": members,
		"failureDomains": p.Zones, "flavors": p.PartnerKinds, "discovery": "pushed", "weights": "nominal", "worthBy": "request",
		"overShareWorth": OverShareWorth, "tick": 5.0, "kindOfService": "deliver",
		"report": object{"how": "silent", "fields": []string{}},
		"domain": object{
			"decay": "line", "kindBatch": batch, "separateRoutes": separateRoutes, "workers": n.Slots, "feeByZone": make([]float64, len(p.Zones)),
			"refusedPrice": 0.05,
		},
		"limits": object{
			"cancel": true, "connIdle": ms(p.Rules.ConnIdleTimeout), "dialTimeout": ms(p.Rules.DialTimeout), "maxAttempts": p.Rules.MaxAttempts,
			"maxOpen": n.MaxOpen, "maxRetryAfter": ms(p.Rules.MaxRetryAfter), "mayDuplicate": false, "probes": true, "retryAfter": true,
			"streamsPerConn": 1,
		},
		"contract": object{
			"coldFrom": p.Rules.SlowStartFrom, "fall": ms(p.Rules.CollapseSpan), "fallMultiple": p.Rules.CollapseMultiple, "graceToAnswer": 20.0,
			"mustAskIn": 10000.0, "stopSendingWithin": ms(p.Rules.DrainGrace), "warmWithin": ms(p.Rules.SlowStartDuration),
		},
	})
	if err != nil {
		return nil, fmt.Errorf("encode settings of node %d: %w", node, err)
	}
	return raw, nil
}
