package wire

import (
	"encoding/json"
	"fmt"

	"starlingusher/choice"
)

type simulatorSettings struct {
	FleetSize int `json:"fleetSize"`
	Classes   []struct {
		SoftDeadline        float64 `json:"aim"`
		SoftDeadlineStretch float64 `json:"aimStretch"`
		Deadline            float64 `json:"deadline"`
		Effect              string  `json:"effect"`
		Group               string  `json:"group"`
		Ordered             bool    `json:"fifoByKey"`
		LateWorth           float64 `json:"lateWorth"`
		DedupWindow         float64 `json:"window"`
		Worth               float64 `json:"worth"`
	} `json:"categories"`
	Discovery string `json:"discovery"`
	Domain    struct {
		Decay          string    `json:"decay"`
		SeparateRoutes []bool    `json:"separateRoutes"`
		MaxBatch       []int     `json:"kindBatch"`
		Slots          int       `json:"workers"`
		ZoneFee        []float64 `json:"feeByZone"`
	} `json:"domain"`
	Limits struct {
		DialTimeout     float64 `json:"dialTimeout"`
		IdleConnTimeout float64 `json:"connIdle"`
		MaxAttempts     int     `json:"maxAttempts"`
		MaxOpen         int     `json:"maxOpen"`
		MaxRetryAfter   float64 `json:"maxRetryAfter"`
		Probes          bool    `json:"probes"`
		Cancel          bool    `json:"cancel"`
		MayDuplicate    bool    `json:"mayDuplicate"`
		RetryAfter      bool    `json:"retryAfter"`
	} `json:"limits"`
	OverShareWorth float64 `json:"overShareWorth"`
	Contract       struct {
		AnswerGrace       float64 `json:"graceToAnswer"`
		WatchWithin       float64 `json:"mustAskIn"`
		SlowStartShare    float64 `json:"coldFrom"`
		SlowStartDuration float64 `json:"warmWithin"`
		DrainGrace        float64 `json:"stopSendingWithin"`
		CollapseMultiple  float64 `json:"fallMultiple"`
		CollapseSpan      float64 `json:"fall"`
		KeyPause          float64 `json:"orderSettle"`
	} `json:"contract"`
	Tenants []struct {
		PerSecond float64 `json:"allowancePerS"`
	} `json:"customers"`
	Tick    float64 `json:"tick"`
	Weights string  `json:"weights"`
}

var effectByWord = map[string]choice.Effect{
	"idempotent": choice.Idempotent, "deduplicated": choice.Deduplicated, "at_most_once": choice.AtMostOnce,
}

// ParseSettings converts the settings of a Born line.
func ParseSettings(raw json.RawMessage) (choice.Settings, error) {
	var c simulatorSettings
	if err := json.Unmarshal(raw, &c); err != nil {
		return choice.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := choice.Settings{
		FleetSize: c.FleetSize, Slots: c.Domain.Slots, MaxOpen: c.Limits.MaxOpen,
		MaxAttempts: c.Limits.MaxAttempts, MayDuplicate: c.Limits.MayDuplicate, MayProbe: c.Limits.Probes,
		MayCancel: c.Limits.Cancel, WatchOnRequest: c.Discovery == "on_request",
		WorthHalves:  c.Domain.Decay == "halves",
		RoughWeights: c.Weights == "rough", WeightIsRate: c.Weights == "rough" || c.Weights == "nominal",
		OverShareWorth: c.OverShareWorth, ZoneFee: c.Domain.ZoneFee, Tick: Duration(c.Tick),
		DialTimeout: Duration(c.Limits.DialTimeout), IdleConnTimeout: Duration(c.Limits.IdleConnTimeout), DrainGrace: Duration(c.Contract.DrainGrace),
		AnswerGrace: Duration(c.Contract.AnswerGrace), CollapseMultiple: c.Contract.CollapseMultiple,
		CollapseSpan: Duration(c.Contract.CollapseSpan), SlowStartShare: c.Contract.SlowStartShare, SlowStartDuration: Duration(c.Contract.SlowStartDuration),
		KeyPause: Duration(c.Contract.KeyPause), WatchWithin: Duration(c.Contract.WatchWithin),
	}
	if c.Limits.RetryAfter {
		s.MaxRetryAfter = Duration(c.Limits.MaxRetryAfter)
	}
	for i, k := range c.Classes {
		effect, ok := effectByWord[k.Effect]
		if !ok {
			return s, fmt.Errorf("settings: class %d has unknown effect %q", i, k.Effect)
		}
		s.Classes = append(s.Classes, choice.Class{
			SoftDeadline: Duration(k.SoftDeadline), SoftDeadlineStretch: k.SoftDeadlineStretch, Deadline: Duration(k.Deadline), Worth: k.Worth,
			LateWorth: k.LateWorth, Effect: effect, DedupWindow: Duration(k.DedupWindow), DedupEverywhere: k.Group == "all",
			Ordered: k.Ordered,
		})
	}
	for i := range max(len(c.Domain.SeparateRoutes), len(c.Domain.MaxBatch)) {
		var k choice.Kind
		if i < len(c.Domain.SeparateRoutes) {
			k.SeparateRoutes = c.Domain.SeparateRoutes[i]
		}
		if i < len(c.Domain.MaxBatch) {
			k.MaxBatch = c.Domain.MaxBatch[i]
		}
		s.Kinds = append(s.Kinds, k)
	}
	for _, t := range c.Tenants {
		s.Tenants = append(s.Tenants, choice.Tenant{PerSecond: t.PerSecond})
	}
	return s, nil
}

// Names are the names that the settings give to classes, kinds, zones and tenants; the index of a name is its
// number.
type Names struct {
	Classes, Kinds, Zones, Tenants []string
}

// ParseNames reads the names from the settings.
func ParseNames(raw json.RawMessage) (Names, error) {
	var c struct {
		Categories []struct {
			Name string `json:"name"`
		} `json:"categories"`
		Customers []struct {
			Name string `json:"name"`
		} `json:"customers"`
		Flavors []string `json:"flavors"`
		Zones   []string `json:"failureDomains"`
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		return Names{}, fmt.Errorf("settings: %w", err)
	}
	n := Names{Kinds: c.Flavors, Zones: c.Zones}
	for _, k := range c.Categories {
		n.Classes = append(n.Classes, k.Name)
	}
	for _, t := range c.Customers {
		n.Tenants = append(n.Tenants, t.Name)
	}
	return n, nil
}
