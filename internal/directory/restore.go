package directory

import (
	"bytes"
	"fmt"
	"net/http"

	"starlingusher/fleet/catalog"
)

// serveRestore replaces the list and the records' values by those of a backup. Leases of records go on: the leader applies all
// that is committed, lets no operation on records pass, and gives the restore the leases as they stand.
func (s *Server) serveRestore(w http.ResponseWriter, req *http.Request) {
	raw, ok := readBody(w, req, maxCommandBytes/2)
	if !ok {
		return
	}
	backup, err := DecodeBackup(bytes.NewReader(raw))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if s.forwardToLeader(w, req, raw) {
		return
	}
	s.recordOps.Lock()
	defer s.recordOps.Unlock()
	s.runCommand(w, req, raw, func() (catalog.Command, error) { return s.buildRestore(backup) })
}

// buildRestore returns the command that restores a backup. The caller keeps operations on records out.
func (s *Server) buildRestore(backup catalog.Image) (catalog.Command, error) {
	if n, limit := len(backup.Entries), s.replica.cfg.List.MaxEndpoints; n > limit {
		return catalog.Command{}, fmt.Errorf("%w: the backup has %d endpoints, the list is limited to %d", catalog.ErrFull, n, limit)
	}
	if err := s.replica.verifyCurrent(); err != nil {
		return catalog.Command{}, err
	}
	var image catalog.Image
	var err error
	s.replica.fsm.view(func(st *catalog.State) { image, err = st.RestoreImage(backup) })
	return catalog.Command{Restore: &image}, err
}
