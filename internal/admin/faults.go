package admin

import (
	"net/http"

	"egretramp/internal/admin/api"
)

// links blocks links to other VMs, for partition tests, and returns the links now blocked.
func (s *Server) links(w http.ResponseWriter, r *http.Request) (any, error) {
	var request api.Links
	if err := readJSON(w, r, api.MaxLinksBytes, &request, `{"cut": [...], "cut_to": [...]}`); err != nil {
		return nil, err
	}
	s.cutLinks(request)
	return request, nil
}
