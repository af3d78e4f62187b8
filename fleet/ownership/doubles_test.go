package ownership

// Fleet exports fleet to tests outside the package.
var Fleet = fleet

// ResendingPublisher is a faulty Publisher that repeats an ambiguous write with another map of the same
// number.
type Careless struct {
	Publisher
	Other func(number int64) *Map
	last  Action
}

func (c *Careless) Step(ans Answer) (Action, bool) {
	if ans.Seq == c.last.Seq && c.last.Operation == Update && ans.Outcome == Ambiguous {
		raw, err := c.Other(c.sought.Number).Encode()
		if err != nil {
			panic(err)
		}
		c.seq++
		c.last.Seq, c.last.Value = c.seq, raw
		return c.last, true
	}
	next, ok := c.Publisher.Step(ans)
	if ok {
		c.last = next
	}
	return next, ok
}

// UnfencedPublisher is a faulty Publisher that reads after an ambiguous write without invalidating the token
// first, and takes a map that is not there for one that will never be written.
type Hasty struct{ Publisher }

func (h *Hasty) Step(ans Answer) (Action, bool) {
	if ans.Seq == h.seq && h.state == updating && ans.Outcome == Ambiguous {
		return h.next(reading), true
	}
	return h.Publisher.Step(ans)
}
