package directory

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"starlingusher/fleet/catalog"
)

// maxDrainTries bounds how often a drain is built anew because its endpoint has changed meanwhile.
const maxDrainTries = 10

// serveDrain sets the phase of an endpoint to Draining. The other fields of the entry are those of the state, so the drain is
// built by a leader that has applied all that is committed, and rests on the revision that it was built from: a write that
// comes between the two makes it fail, and it is built anew unless the request itself names a revision.
func (s *Server) serveDrain(w http.ResponseWriter, req *http.Request) {
	start := time.Now()
	raw, base, ok := s.readWrite(w, req)
	if !ok || s.forwardToLeader(w, req, raw) {
		return
	}
	if err := s.replica.verifyCurrent(); err != nil {
		writeBuildError(w, err)
		return
	}
	for try := 1; ; try++ {
		write, err := s.buildDrain(req.PathValue("id"), base)
		if err != nil {
			writeBuildError(w, err)
			return
		}
		s.completeWrite(&write, req, write.Base)
		res, err := s.proposeFor(req, catalog.Command{Write: &write}, start)
		if base.Any && errors.Is(res.Err, catalog.ErrConflict) && try < maxDrainTries {
			continue
		}
		writeResult(w, res, err)
		return
	}
}

// buildDrain returns the write that drains an endpoint. Based on any revision, it rests on the one that it was built from.
func (s *Server) buildDrain(id string, base catalog.Base) (catalog.Write, error) {
	var endpoint catalog.Endpoint
	s.replica.fsm.view(func(st *catalog.State) {
		entry, _ := st.Entry(id)
		endpoint = entry.Endpoint
		if base.Any {
			base = catalog.Base{History: st.History(), Revision: st.Revision()}
		}
	})
	if endpoint.ID == "" {
		return catalog.Write{}, fmt.Errorf("endpoint %.40q is not listed: %w", id, catalog.ErrNotFound)
	}
	endpoint.Phase = catalog.Draining
	return catalog.Write{Members: []catalog.Endpoint{endpoint}, Base: base}, nil
}
