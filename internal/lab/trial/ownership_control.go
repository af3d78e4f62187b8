package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"starlingusher/fleet/ownership"
	"starlingusher/internal/directory"
	"starlingusher/internal/registry"
)

const (
	mapTTL      = 400 * time.Millisecond // a controller's lease of the record
	controlRest = 700 * time.Millisecond // between two changes of one controller, on the average
	changeWait  = 3 * time.Second        // for one change
	controlWait = 800 * time.Millisecond // for one answer: a replica may be stopped
	leastNodes  = 5                      // in a map
)

// boundary is where a controller is killed, sleeps, or loses an answer in the midst of a change. One that was killed remembers nothing:
// who comes next is another one.
type boundary string

const (
	whole         boundary = "whole"
	afterAcquire  boundary = "killed after acquire"
	beforeUpdate  boundary = "killed before update"
	afterUpdate   boundary = "killed after update, its answer lost"
	inUpdate      boundary = "killed while its update is under way"
	beforeRelease boundary = "killed before release"
	asleep        boundary = "asleep past its lease before update"
	answerLost    boundary = "the answer to its update lost"
)

var boundaries = []boundary{whole, afterAcquire, beforeUpdate, afterUpdate, inUpdate, beforeRelease, asleep, answerLost}

// errKilled says that a controller was killed where it should be.
var errKilled = errors.New("killed")

// controller makes new maps by the agreement of package ownership, and carries out what that says.
type controller struct {
	t     *ownershipTrial
	name  string
	lives int
	r     *rand.Rand
	op    *directory.AdminClient
}

func (t *ownershipTrial) newController(n int) *controller {
	op := t.client(300 + n)
	op.HTTPClient.Timeout = controlWait
	return &controller{t: t, name: fmt.Sprint("c", n), r: rand.New(rand.NewPCG(t.opts.Seed, uint64(3000+n))), op: op}
}

// run changes the map again and again until the context ends.
func (c *controller) run(ctx context.Context) {
	var deck []boundary
	for registry.Sleep(ctx, time.Duration((0.5+c.r.Float64())*float64(controlRest))) {
		if len(deck) == 0 {
			deck = slices.Clone(boundaries)
			c.r.Shuffle(len(deck), func(i, j int) { deck[i], deck[j] = deck[j], deck[i] })
		}
		c.op.Addresses = c.t.addresses(c.r.Uint64())
		// What is under way is let finish: its outcome counts.
		m, err := c.change(context.WithoutCancel(ctx), deck[0], c.anyMembers)
		c.t.changed(c.name, deck[0], m, err)
		if err == nil || errors.Is(err, errKilled) {
			deck = deck[1:]
		}
	}
}

type recordAnswer struct {
	Token int64  `json:"token"`
	Value []byte `json:"value"`
}

func (c *controller) ask(ctx context.Context, method, path string, body any) (recordAnswer, error) {
	var v recordAnswer
	var raw []byte
	var err error
	if body != nil {
		if raw, err = json.Marshal(body); err != nil {
			return v, err
		}
	}
	if raw, _, err = c.op.Do(ctx, method, path, "", raw); err != nil {
		return v, err
	}
	return v, json.Unmarshal(raw, &v)
}

const mapPath = "/records/" + ownership.RecordName

// change makes one new map, of members that come from those of the map before, and returns it. The controller dies or loses what the
// boundary says.
func (c *controller) change(ctx context.Context, at boundary, members func([]ownership.Member) []ownership.Member) (*ownership.Map, error) {
	until := time.Now().Add(changeWait + c.op.RetryFor)
	var sought *ownership.Map
	a := ownership.Publisher{Plan: func(number int64, before *ownership.Map) (m *ownership.Map, err error) {
		var now []ownership.Member
		if before != nil {
			now = before.Members
		}
		sought, err = ownership.Make(number, copies, members(now), before)
		return sought, err
	}}
	act := a.Begin()
	for act.Operation != ownership.End {
		if at.dies(act.Operation) {
			c.lives++ // who comes after it has another name, and waits for the lease
			return nil, errKilled
		}
		ans := c.carryOut(ctx, at, act, sought)
		switch {
		case at == afterUpdate && act.Operation == ownership.Update && ans.Outcome == ownership.Done, at == inUpdate && act.Operation == ownership.Update:
			c.lives++
			return nil, errKilled
		case at == answerLost && act.Operation == ownership.Update && ans.Outcome == ownership.Done:
			ans = ownership.Answer{Seq: act.Seq, Outcome: ownership.Ambiguous}
			at = whole
		case ans.Outcome != ownership.Done && time.Now().After(until):
			ans.Outcome = ownership.TimedOut
		case ans.Outcome == ownership.Refused: // another holds it, or too few replicas are there
			registry.Sleep(ctx, operatorPause)
		}
		var ok bool
		if act, ok = a.Step(ans); !ok {
			return nil, fmt.Errorf("the agreement knows nothing of action %d", ans.Seq)
		}
	}
	return act.Map, act.Err
}

// dies tells that a controller ends before it does something.
func (b boundary) dies(before ownership.Operation) bool {
	switch before {
	case ownership.Read:
		return b == afterAcquire
	case ownership.Update:
		return b == beforeUpdate
	case ownership.Release:
		return b == beforeRelease
	}
	return false
}

// carryOut does one action, and notes a map that may be written by it.
func (c *controller) carryOut(ctx context.Context, at boundary, act ownership.Action, sought *ownership.Map) ownership.Answer {
	var a recordAnswer
	var err error
	switch act.Operation {
	case ownership.Acquire:
		a, err = c.ask(ctx, http.MethodPut, mapPath, map[string]any{"holder": fmt.Sprint(c.name, "-", c.lives), "ttl_ms": mapTTL.Milliseconds()})
	case ownership.Read:
		a, err = c.ask(ctx, http.MethodGet, mapPath+"?fresh=1", nil)
	case ownership.Update:
		if at == asleep {
			registry.Sleep(ctx, mapTTL+time.Duration(c.r.Int64N(int64(mapTTL))))
		}
		w := MapWrite{By: fmt.Sprint(c.name, "-", c.lives), Number: sought.Number, Sum: sum(act.Value), Outcome: Done, Call: c.t.now()}
		e := c.t.begun(sought, w)
		if at == inUpdate {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(c.r.Int64N(int64(8*time.Millisecond))))
			defer cancel()
		}
		_, err = c.ask(ctx, http.MethodPost, mapPath, map[string]any{"token": act.Token, "value": act.Value})
		w.Return = c.t.now()
		switch {
		case err != nil && !errors.Is(err, directory.ErrAmbiguous):
			c.t.dropped(e)
		case err != nil:
			w.Outcome = Unknown
			fallthrough
		default:
			c.t.wrote(e, w)
		}
	case ownership.Release:
		_, err = c.ask(ctx, http.MethodDelete, mapPath, map[string]any{"token": act.Token})
	}
	ans := ownership.Answer{Seq: act.Seq, Outcome: ownership.Done, Token: a.Token, Value: a.Value, Err: err}
	if err != nil {
		ans.Outcome = ownership.Refused
	}
	if errors.Is(err, directory.ErrAmbiguous) {
		ans.Outcome = ownership.Ambiguous
	}
	return ans
}

// anyMembers lets a member leave, one come back, or another weigh more or less.
func (c *controller) anyMembers(now []ownership.Member) []ownership.Member {
	all := c.t.members()
	out := slices.Clone(now)
	absent := slices.DeleteFunc(all, func(m ownership.Member) bool {
		return slices.ContainsFunc(now, func(o ownership.Member) bool { return o.Name == m.Name })
	})
	switch k := c.r.IntN(5); {
	case len(now) == 0:
		return all
	case k < 2 && len(now) > leastNodes:
		i := c.r.IntN(len(out))
		return slices.Delete(out, i, i+1)
	case k < 4 && len(absent) > 0:
		return append(out, absent[c.r.IntN(len(absent))])
	default:
		out[c.r.IntN(len(out))].Weight = 0.5 + c.r.Float64()
		return out
	}
}
