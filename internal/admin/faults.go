package admin

import (
	"bytes"
	"encoding/json"
	"net/http"

	"egretramp/internal/admin/api"
)

// links cuts links to other VMs, for tests of partitions, and answers with what is cut now.
func (s *Server) links(w http.ResponseWriter, r *http.Request) (any, error) {
	body, err := readBody(w, r, api.MaxLinksBytes)
	if err != nil {
		return nil, err
	}
	var request api.Links
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil || decoder.More() {
		return nil, badRequest("the body has to be {\"cut\": [...], \"cut_to\": [...]}")
	}
	s.cutLinks(request)
	return request, nil
}
