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
	"starlingusher/internal/sysretry"
)

const (
	mapLeaseTTL           = 400 * time.Millisecond // a controller's lease of the map's record
	meanMapChangeInterval = 700 * time.Millisecond // between two changes by one controller
	mapChangeTimeout      = 3 * time.Second        // for one change of the map
	controllerTimeout     = 800 * time.Millisecond // for one answer: a replica may be stopped
	minMapMembers         = 5
)

// interruption is where a controller is killed, sleeps, or loses an answer during a change of the map. A
// killed controller remembers nothing; its successor is another holder.
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

var interruptions = []interruption{uninterrupted, killedAfterAcquire, killedBeforeUpdate, killedAfterUpdate,
	killedDuringUpdate, killedBeforeRelease, sleepsPastLease, updateAnswerLost}

// errControllerKilled reports that a controller was killed by its interruption.
var errControllerKilled = errors.New("controller killed")

// controller publishes new maps with the publisher of package ownership, whose actions it carries out.
type controller struct {
	trial       *ownershipTrial
	name        string
	incarnation int
	random      *rand.Rand
	admin       *directory.AdminClient
}

func (t *ownershipTrial) newController(number int) *controller {
	admin := t.newClient(300 + number)
	admin.HTTPClient.Timeout = controllerTimeout
	return &controller{trial: t, name: fmt.Sprint("c", number),
		random: rand.New(rand.NewPCG(t.options.Seed, uint64(3000+number))), admin: admin}
}

// run changes the map again and again until the context ends.
func (c *controller) run(ctx context.Context) {
	var remaining []interruption
	for sysretry.Sleep(ctx, time.Duration((0.5+c.random.Float64())*float64(meanMapChangeInterval))) {
		if len(remaining) == 0 {
			remaining = slices.Clone(interruptions)
			c.random.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
		}
		c.admin.Addresses = c.trial.shuffledAddresses(c.random.Uint64())
		// A change in flight is completed, because its outcome counts.
		m, err := c.publishMap(context.WithoutCancel(ctx), remaining[0], c.randomMembers)
		c.trial.countMapChange(c.name, remaining[0], m, err)
		if err == nil || errors.Is(err, errControllerKilled) {
			remaining = remaining[1:]
		}
	}
}

type recordAnswer struct {
	Token int64  `json:"token"`
	Value []byte `json:"value"`
}

func (c *controller) request(ctx context.Context, method, path string, body any) (recordAnswer, error) {
	var answer recordAnswer
	var raw []byte
	var err error
	if body != nil {
		if raw, err = json.Marshal(body); err != nil {
			return answer, err
		}
	}
	if raw, _, err = c.admin.Do(ctx, method, path, "", raw); err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(raw, &answer)
}

const mapPath = "/records/" + ownership.RecordName

// publishMap publishes one new map, whose members are derived from those of the map before, and returns it.
// The controller is killed or loses an answer where the interruption says so.
func (c *controller) publishMap(
	ctx context.Context, interrupted interruption, members func([]ownership.Member) []ownership.Member,
) (*ownership.Map, error) {
	deadline := time.Now().Add(mapChangeTimeout + c.admin.RetryFor)
	var planned *ownership.Map
	publisher := ownership.Publisher{Plan: func(number int64, before *ownership.Map) (m *ownership.Map, err error) {
		var current []ownership.Member
		if before != nil {
			current = before.Members
		}
		planned, err = ownership.Make(number, ownersPerPartition, members(current), before)
		return planned, err
	}}
	action := publisher.Begin()
	for action.Operation != ownership.End {
		if interrupted.killsBefore(action.Operation) {
			c.incarnation++ // the successor has another name and must wait for the lease
			return nil, errControllerKilled
		}
		answer := c.execute(ctx, interrupted, action, planned)
		switch {
		case interrupted == killedAfterUpdate && action.Operation == ownership.Update && answer.Outcome == ownership.Done,
			interrupted == killedDuringUpdate && action.Operation == ownership.Update:
			c.incarnation++
			return nil, errControllerKilled
		case interrupted == updateAnswerLost && action.Operation == ownership.Update && answer.Outcome == ownership.Done:
			answer = ownership.Answer{Seq: action.Seq, Outcome: ownership.Ambiguous}
			interrupted = uninterrupted
		case answer.Outcome != ownership.Done && time.Now().After(deadline):
			answer.Outcome = ownership.TimedOut
		case answer.Outcome == ownership.Refused: // another holder has the lease, or too few replicas are up
			sysretry.Sleep(ctx, retryPause)
		}
		var ok bool
		if action, ok = publisher.Step(answer); !ok {
			return nil, fmt.Errorf("the publisher did not expect an answer to action %d", answer.Seq)
		}
	}
	return action.Map, action.Err
}

// killsBefore tells whether the controller is killed before an operation.
func (i interruption) killsBefore(operation ownership.Operation) bool {
	switch operation {
	case ownership.Read:
		return i == killedAfterAcquire
	case ownership.Update:
		return i == killedBeforeUpdate
	case ownership.Release:
		return i == killedBeforeRelease
	}
	return false
}

// execute carries out one action, and records a map that it may write.
func (c *controller) execute(ctx context.Context, interrupted interruption, action ownership.Action, planned *ownership.Map) ownership.Answer {
	var record recordAnswer
	var err error
	switch action.Operation {
	case ownership.Acquire:
		record, err = c.request(ctx, http.MethodPut, mapPath,
			map[string]any{"holder": fmt.Sprint(c.name, "-", c.incarnation), "ttl_ms": mapLeaseTTL.Milliseconds()})
	case ownership.Read:
		record, err = c.request(ctx, http.MethodGet, mapPath+"?fresh=1", nil)
	case ownership.Update:
		if interrupted == sleepsPastLease {
			sysretry.Sleep(ctx, mapLeaseTTL+time.Duration(c.random.Int64N(int64(mapLeaseTTL))))
		}
		write := MapWrite{Writer: fmt.Sprint(c.name, "-", c.incarnation), Number: planned.Number,
			Checksum: checksum(action.Value), Outcome: Done, Call: c.trial.elapsed()}
		published := c.trial.recordMapIntent(planned, write)
		if interrupted == killedDuringUpdate {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(c.random.Int64N(int64(8*time.Millisecond))))
			defer cancel()
		}
		_, err = c.request(ctx, http.MethodPost, mapPath, map[string]any{"token": action.Token, "value": action.Value})
		write.Return = c.trial.elapsed()
		switch {
		case err != nil && !errors.Is(err, directory.ErrAmbiguous):
			c.trial.forgetMap(published)
		case err != nil:
			write.Outcome = Ambiguous
			fallthrough
		default:
			c.trial.recordMapWrite(published, write)
		}
	case ownership.Release:
		_, err = c.request(ctx, http.MethodDelete, mapPath, map[string]any{"token": action.Token})
	}
	answer := ownership.Answer{Seq: action.Seq, Outcome: ownership.Done, Token: record.Token, Value: record.Value, Err: err}
	if err != nil {
		answer.Outcome = ownership.Refused
	}
	if errors.Is(err, directory.ErrAmbiguous) {
		answer.Outcome = ownership.Ambiguous
	}
	return answer
}

// randomMembers removes a member, adds one that is missing, or changes the weight of one.
func (c *controller) randomMembers(current []ownership.Member) []ownership.Member {
	all := c.trial.members()
	changed := slices.Clone(current)
	absent := slices.DeleteFunc(all, func(m ownership.Member) bool {
		return slices.ContainsFunc(current, func(other ownership.Member) bool { return other.Name == m.Name })
	})
	switch choice := c.random.IntN(5); {
	case len(current) == 0:
		return all
	case choice < 2 && len(current) > minMapMembers:
		i := c.random.IntN(len(changed))
		return slices.Delete(changed, i, i+1)
	case choice < 4 && len(absent) > 0:
		return append(changed, absent[c.random.IntN(len(absent))])
	default:
		changed[c.random.IntN(len(changed))].Weight = 0.5 + c.random.Float64()
		return changed
	}
}
