package ownership

// Fleet exports fleet to tests outside the package.
var Fleet = fleet

// ResendingPublisher is a faulty Publisher that repeats an ambiguous write with another map of the same
// number.
type ResendingPublisher struct {
	Publisher
	OtherMap   func(number int64) *Map
	lastAction Action
}

func (c *ResendingPublisher) Step(ans Answer) (Action, bool) {
	if ans.Seq == c.lastAction.Seq && c.lastAction.Operation == Update && ans.Outcome == Ambiguous {
		raw, err := c.OtherMap(c.candidate.Number).Encode()
		if err != nil {
			panic(err)
		}
		c.seq++
		c.lastAction.Seq, c.lastAction.Value = c.seq, raw
		return c.lastAction, true
	}
	next, ok := c.Publisher.Step(ans)
	if ok {
		c.lastAction = next
	}
	return next, ok
}

// UnfencedPublisher is a faulty Publisher that reads after an ambiguous write without invalidating the token
// first, and takes a map that is not there for one that will never be written.
type UnfencedPublisher struct{ Publisher }

func (h *UnfencedPublisher) Step(ans Answer) (Action, bool) {
	if ans.Seq == h.seq && h.stage == updating && ans.Outcome == Ambiguous {
		return h.enter(reading), true
	}
	return h.Publisher.Step(ans)
}
