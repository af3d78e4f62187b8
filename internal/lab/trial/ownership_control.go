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
	mapLeaseTTL           = 400 * time.Millisecond // a controller's lease of the record
	meanMapChangeInterval = 700 * time.Millisecond // between two changes of one controller, on the average
	mapChangeTimeout      = 3 * time.Second        // for one change
	controllerTimeout     = 800 * time.Millisecond // for one answer: a replica may be stopped
	minMapMembers         = 5                      // in a map
)

// boundary is where a controller is killed, sleeps, or loses an answer in the midst of a change. One that was killed remembers nothing:
// who comes next is another one.
type interruption string

const (
	uninterrupted       interruption = "whole"
	killedAfterAcquire  interruption = "killed after acquire"
	killedBeforeUpdate  interruption = "killed before update"
	killedAfterUpdate   interruption = "killed after update, its answer lost"
	killedDuringUpdate  interruption = "killed while its update is under way"
	killedBeforeRelease interruption = "killed before release"
	sleepsPastLease     interruption = "asleep past its lease before update"
	updateAnswerLost    interruption = "the answer to its update lost"
)

var interruptions = []interruption{uninterrupted, killedAfterAcquire, killedBeforeUpdate, killedAfterUpdate, killedDuringUpdate, killedBeforeRelease, sleepsPastLease, updateAnswerLost}

// errKilled says that a controller was killed where it should be.
var errControllerKilled = errors.New("killed")

// controller makes new maps by the agreement of package ownership, and carries out what that says.
type controller struct {
	trial       *ownershipTrial
	name        string
	incarnation int
	random      *rand.Rand
	admin       *directory.AdminClient
}

func (t *ownershipTrial) newController(n int) *controller {
	op := t.newClient(300 + n)
	op.HTTPClient.Timeout = controllerTimeout
	return &controller{trial: t, name: fmt.Sprint("c", n), random: rand.New(rand.NewPCG(t.options.Seed, uint64(3000+n))), admin: op}
}

// run changes the map again and again until the context ends.
func (c *controller) run(ctx context.Context) {
	var deck []interruption
	for registry.Sleep(ctx, time.Duration((0.5+c.random.Float64())*float64(meanMapChangeInterval))) {
		if len(deck) == 0 {
			deck = slices.Clone(interruptions)
			c.random.Shuffle(len(deck), func(i, j int) { deck[i], deck[j] = deck[j], deck[i] })
		}
		c.admin.Addresses = c.trial.shuffledAddresses(c.random.Uint64())
		// What is under way is let finish: its outcome counts.
		m, err := c.publishMap(context.WithoutCancel(ctx), deck[0], c.randomMembers)
		c.trial.countMapChange(c.name, deck[0], m, err)
		if err == nil || errors.Is(err, errControllerKilled) {
			deck = deck[1:]
		}
	}
}

type recordAnswer struct {
	Token int64  `json:"token"`
	Value []byte `json:"value"`
}

func (c *controller) request(ctx context.Context, method, path string, body any) (recordAnswer, error) {
	var v recordAnswer
	var raw []byte
	var err error
	if body != nil {
		if raw, err = json.Marshal(body); err != nil {
			return v, err
		}
	}
	if raw, _, err = c.admin.Do(ctx, method, path, "", raw); err != nil {
		return v, err
	}
	return v, json.Unmarshal(raw, &v)
}

const mapPath = "/records/" + ownership.RecordName

// change makes one new map, of members that come from those of the map before, and returns it. The controller dies or loses what the
// boundary says.
func (c *controller) publishMap(ctx context.Context, at interruption, members func([]ownership.Member) []ownership.Member) (*ownership.Map, error) {
	until := time.Now().Add(mapChangeTimeout + c.admin.RetryFor)
	var sought *ownership.Map
	a := ownership.Publisher{Plan: func(number int64, before *ownership.Map) (m *ownership.Map, err error) {
		var now []ownership.Member
		if before != nil {
			now = before.Members
		}
		sought, err = ownership.Make(number, ownersPerPartition, members(now), before)
		return sought, err
	}}
	act := a.Begin()
	for act.Operation != ownership.End {
		if at.killsBefore(act.Operation) {
			c.incarnation++ // who comes after it has another name, and waits for the lease
			return nil, errControllerKilled
		}
		ans := c.execute(ctx, at, act, sought)
		switch {
		case at == killedAfterUpdate && act.Operation == ownership.Update && ans.Outcome == ownership.Done, at == killedDuringUpdate && act.Operation == ownership.Update:
			c.incarnation++
			return nil, errControllerKilled
		case at == updateAnswerLost && act.Operation == ownership.Update && ans.Outcome == ownership.Done:
			ans = ownership.Answer{Seq: act.Seq, Outcome: ownership.Ambiguous}
			at = uninterrupted
		case ans.Outcome != ownership.Done && time.Now().After(until):
			ans.Outcome = ownership.TimedOut
		case ans.Outcome == ownership.Refused: // another holds it, or too few replicas are there
			registry.Sleep(ctx, retryPause)
		}
		var ok bool
		if act, ok = a.Step(ans); !ok {
			return nil, fmt.Errorf("the agreement knows nothing of action %d", ans.Seq)
		}
	}
	return act.Map, act.Err
}

// dies tells that a controller ends before it does something.
func (b interruption) killsBefore(before ownership.Operation) bool {
	switch before {
	case ownership.Read:
		return b == killedAfterAcquire
	case ownership.Update:
		return b == killedBeforeUpdate
	case ownership.Release:
		return b == killedBeforeRelease
	}
	return false
}

// carryOut does one action, and notes a map that may be written by it.
func (c *controller) execute(ctx context.Context, at interruption, act ownership.Action, sought *ownership.Map) ownership.Answer {
	var a recordAnswer
	var err error
	switch act.Operation {
	case ownership.Acquire:
		a, err = c.request(ctx, http.MethodPut, mapPath, map[string]any{"holder": fmt.Sprint(c.name, "-", c.incarnation), "ttl_ms": mapLeaseTTL.Milliseconds()})
	case ownership.Read:
		a, err = c.request(ctx, http.MethodGet, mapPath+"?fresh=1", nil)
	case ownership.Update:
		if at == sleepsPastLease {
			registry.Sleep(ctx, mapLeaseTTL+time.Duration(c.random.Int64N(int64(mapLeaseTTL))))
		}
		w := MapWrite{Writer: fmt.Sprint(c.name, "-", c.incarnation), Number: sought.Number, Checksum: checksum(act.Value), Outcome: Done, Call: c.trial.elapsed()}
		e := c.trial.recordMapIntent(sought, w)
		if at == killedDuringUpdate {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(c.random.Int64N(int64(8*time.Millisecond))))
			defer cancel()
		}
		_, err = c.request(ctx, http.MethodPost, mapPath, map[string]any{"token": act.Token, "value": act.Value})
		w.Return = c.trial.elapsed()
		switch {
		case err != nil && !errors.Is(err, directory.ErrAmbiguous):
			c.trial.forgetMap(e)
		case err != nil:
			w.Outcome = Ambiguous
			fallthrough
		default:
			c.trial.recordMapWrite(e, w)
		}
	case ownership.Release:
		_, err = c.request(ctx, http.MethodDelete, mapPath, map[string]any{"token": act.Token})
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
func (c *controller) randomMembers(now []ownership.Member) []ownership.Member {
	all := c.trial.members()
	out := slices.Clone(now)
	absent := slices.DeleteFunc(all, func(m ownership.Member) bool {
		return slices.ContainsFunc(now, func(o ownership.Member) bool { return o.Name == m.Name })
	})
	switch k := c.random.IntN(5); {
	case len(now) == 0:
		return all
	case k < 2 && len(now) > minMapMembers:
		i := c.random.IntN(len(out))
		return slices.Delete(out, i, i+1)
	case k < 4 && len(absent) > 0:
		return append(out, absent[c.random.IntN(len(absent))])
	default:
		out[c.random.IntN(len(out))].Weight = 0.5 + c.random.Float64()
		return out
	}
}
