package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models serves GET /v1/models: it lists the canonical IDs of the models that the caller may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	c, refused := s.authenticate(r)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range c.snapshot.Models() {
		if _, ok := c.snapshot.ModelRoute(c.account, m.ID); ok {
			list.Data = append(list.Data, modelItem{ID: m.ID, Object: "model", OwnedBy: "egretramp"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
