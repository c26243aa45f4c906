package fakes

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"egretramp/internal/upstream/wire"
)

const (
	pathSessions    = "/v1/sessions"
	pathCacheEvents = "/v1/cache_events"
	pathOrders      = "/v1/orders"
	pathModels      = "/v1/models"
)

// serveMemory handles the endpoints for sessions, KV memory, cache events and orders.
func (e *engine) serveMemory(w http.ResponseWriter, r *http.Request, body []byte) {
	session, inSessions := strings.CutPrefix(r.URL.Path, pathSessions+"/")
	kvOf, isKV := strings.CutSuffix(session, "/kv")
	switch {
	case r.Method == http.MethodGet && r.URL.Path == pathSessions:
		writeJSON(w, http.StatusOK, e.sessions())
	case r.Method == http.MethodGet && r.URL.Path == pathCacheEvents:
		e.serveCacheEvents(w, r)
	case r.Method == http.MethodPost && r.URL.Path == pathOrders:
		e.serveOrder(w, r, body)
	case inSessions && isKV && r.Method == http.MethodGet:
		e.serveExport(w, kvOf)
	case inSessions && isKV && r.Method == http.MethodPut:
		e.serveImport(w, kvOf, body)
	case inSessions && r.Method == http.MethodDelete:
		e.releaseSession(session)
		writeJSON(w, http.StatusOK, struct{}{})
	default:
		writeError(w, http.StatusNotFound, "not_found", "no such endpoint")
	}
}

// sessions lists the sessions that occupy KV memory, including those of running calls.
func (e *engine) sessions() wire.SessionList {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := wire.SessionList{Sessions: []wire.Session{}}
	for _, p := range e.kv.idle {
		list.Sessions = append(list.Sessions, wire.Session{Session: p.session, Tokens: int64(len(p.tokens))})
	}
	for _, c := range e.running {
		if c.session != "" {
			list.Sessions = append(list.Sessions, wire.Session{Session: c.session, Tokens: c.kvTokens()})
		}
	}
	return list
}

// releaseSession frees a session's KV memory immediately if it is idle, otherwise when its calls
// end.
func (e *engine) releaseSession(session string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv.drop(session, time.Now())
	for _, c := range e.calls {
		if c.session == session && !c.ended {
			c.keep = false
		}
	}
}

func (e *engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from := uint64(0)
	if text := r.URL.Query().Get("from"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, "bad_request", "from must be a sequence number")
			return
		}
		from = n
	}
	e.mu.Lock()
	events := e.kv.eventsSince(from, time.Now().Add(-e.opts.Engine.CacheEventDelay))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, wire.CacheEvents{Events: events})
}

func (e *engine) serveExport(w http.ResponseWriter, session string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.kv.find(session)
	if i < 0 {
		writeError(w, http.StatusNotFound, "unknown_session", "no idle memory of this session")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(mustJSON(e.kv.idle[i].tokens))
}

func (e *engine) serveImport(w http.ResponseWriter, session string, body []byte) {
	var tokens []string
	if err := json.Unmarshal(body, &tokens); err != nil || session == "" {
		writeError(w, http.StatusBadRequest, "bad_request", "not an exported KV cache")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.kv.store(session, tokens, time.Now()) {
		writeError(w, http.StatusInsufficientStorage, "no_memory", "running calls hold the memory")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
