package ownership

// Fleet is for tests outside of the package.
var Fleet = fleet

// Careless is an Agreement that sends a write again when its answer is lost: the same number, made anew.
type Careless struct {
	Agreement
	Other func(number int64) *Map
	last  Action
}

// Step takes an answer.
func (c *Careless) Step(ans Answer) (Action, bool) {
	if ans.Seq == c.last.Seq && c.last.Do == Update && ans.Came == Lost {
		raw, err := c.Other(c.sought.Number).Encode()
		if err != nil {
			panic(err)
		}
		c.seq++
		c.last.Seq, c.last.Value = c.seq, raw
		return c.last, true
	}
	next, ok := c.Agreement.Step(ans)
	if ok {
		c.last = next
	}
	return next, ok
}

// Hasty is an Agreement that reads after a lost write without barring it first, and takes what is not there for not
// done.
type Hasty struct{ Agreement }

// Step takes an answer.
func (h *Hasty) Step(ans Answer) (Action, bool) {
	if ans.Seq == h.seq && h.state == updating && ans.Came == Lost {
		return h.next(reading), true
	}
	return h.Agreement.Step(ans)
}
