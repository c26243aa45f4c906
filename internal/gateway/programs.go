package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"egretramp/internal/program"
	"egretramp/internal/refusal"
)

// createRequest is the body of POST /v1/programs.
type createRequest struct {
	Name       string `json:"name"`
	Parent     string `json:"parent"`
	Tokens     int64  `json:"tokens"`
	Calls      int64  `json:"calls"`
	DeadlineMS int64  `json:"deadline_ms"` // Unix milliseconds
	// Home says which groups may hold the program. The default is the parent's home; without a
	// parent, any group for a program without a name, which cannot exist yet, and the majority
	// group for other programs.
	Home program.Placement `json:"home"`
}

// applyDefaults sets the default home, generates a name for a program without one, and validates
// the request.
func (c *createRequest) applyDefaults() *refusal.Refusal {
	if c.Name == "" {
		c.Name = newID()
		c.Home = cmp.Or(c.Home, program.PlaceAny)
	}
	if c.Parent == "" {
		c.Home = cmp.Or(c.Home, program.PlaceMajority)
	}
	switch c.Home {
	case "", program.PlaceMajority, program.PlaceZone, program.PlaceAny:
	default:
		return badRequest("bad_field", "home must be majority, zone or any")
	}
	if len(c.Name) > maxKeyBytes {
		return badRequest("bad_field", "name has at most 200 bytes")
	}
	return nil
}

// homeFrom returns the home that decides a request received by a VM in the zone.
func (c *createRequest) homeFrom(zone string) program.Home {
	switch {
	case c.Parent != "":
		return program.HomeOf(c.Parent)
	case c.Home == program.PlaceMajority:
		return program.MajorityHome
	}
	return program.Home(zone)
}

// programBody is the JSON representation of a program in responses.
type programBody struct {
	ID           string            `json:"id"`
	Object       string            `json:"object"`
	Home         string            `json:"home"`
	Parent       string            `json:"parent,omitempty"`
	SubAgents    []string          `json:"sub_agents,omitempty"`
	State        program.State     `json:"state"`
	NextTurn     uint64            `json:"next_turn"`
	TokensLimit  int64             `json:"tokens_limit"`
	TokensUsed   int64             `json:"tokens_used"`
	CallsLimit   int64             `json:"calls_limit"`
	CallsUsed    int64             `json:"calls_used"`
	DeadlineMS   int64             `json:"deadline_ms,omitempty"`
	Turns        []programTurn     `json:"turns,omitempty"`
	MessageCount int               `json:"message_count"`
	Messages     []json.RawMessage `json:"messages,omitempty"`
	CreatedMS    int64             `json:"created_ms"`
	LastActiveMS int64             `json:"last_active_ms"`
}

type programTurn struct {
	Turn   uint64            `json:"turn"`
	Kind   program.Kind      `json:"kind"`
	State  program.TurnState `json:"state"`
	Status int               `json:"status,omitempty"`
}

type programListBody struct {
	Object string           `json:"object"`
	Data   []programSummary `json:"data"`
	More   bool             `json:"has_more"`
	// Unanswered lists the homes that did not answer and whose programs are missing from Data.
	Unanswered []string `json:"homes_without_answer,omitempty"`
}

type programSummary struct {
	ID         string        `json:"id"`
	Parent     string        `json:"parent,omitempty"`
	State      program.State `json:"state"`
	NextTurn   uint64        `json:"next_turn"`
	TokensUsed int64         `json:"tokens_used"`
	CallsUsed  int64         `json:"calls_used"`
}

func newProgramBody(v *program.View) programBody {
	b := programBody{
		ID: v.Name, Object: "program", Home: program.HomeOf(v.Name).String(), Parent: v.Parent, SubAgents: v.Children, State: v.State, NextTurn: v.NextTurn,
		TokensLimit: v.Limit.Tokens, TokensUsed: v.Used.Tokens, CallsLimit: v.Limit.Calls, CallsUsed: v.Used.Calls,
		DeadlineMS: v.DeadlineMS, MessageCount: v.RecordedMessages, CreatedMS: v.CreatedMS, LastActiveMS: v.ActiveMS,
	}
	for _, t := range v.Turns {
		b.Turns = append(b.Turns, programTurn{Turn: t.Turn, Kind: t.Kind, State: t.State, Status: t.Status})
	}
	if v.Messages != nil {
		b.Messages = rawMessages(v.Messages)
	}
	return b
}

// admitProgram authenticates a caller of the programs resource and enforces its rate limit.
func (s *Server) admitProgram(r *http.Request) (*caller, *refusal.Refusal) {
	c, refused := s.authenticate(r)
	if refused != nil {
		return nil, refused
	}
	id := newID()
	if err := s.opts.Limiter.Draw(r.Context(), c.account.ID, id); err != nil {
		return nil, asRefusal(err)
	}
	if _, err := s.opts.Limiter.Dispatch(r.Context(), c.account.ID, id); err != nil {
		return nil, asRefusal(err)
	}
	return c, nil
}

func (s *Server) createProgram(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	c, refused := s.admitProgram(r)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	body, refused := readBody(w, r)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	var request createRequest
	if err := json.Unmarshal(body, &request); err != nil {
		s.refuse(w, badRequest("bad_json", "the body must be a JSON object with name, home, parent, tokens, calls and deadline_ms"))
		return
	}
	if refused := request.applyDefaults(); refused != nil {
		s.refuse(w, refused)
		return
	}
	s.respondProgram(w, r, request.homeFrom(s.opts.Zone), func(ctx context.Context) (*program.View, error) {
		return s.opts.Ledger.Create(ctx, program.Create{
			Account: c.account.ID, Name: request.Name, Parent: request.Parent,
			Budget:  program.Budget{Tokens: request.Tokens, Calls: request.Calls},
			Ceiling: ceiling(c.account), DeadlineMS: request.DeadlineMS,
		}, request.Home)
	})
}

func (s *Server) readProgram(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	c, refused := s.admitProgram(r)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	s.respondProgram(w, r, program.HomeOf(p.ByName("program")), func(ctx context.Context) (*program.View, error) {
		return s.opts.Ledger.Read(ctx, program.ProgramQuery{
			Account: c.account.ID, Program: p.ByName("program"), History: r.URL.Query().Get("history") == "true",
		})
	})
}

func (s *Server) endProgram(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	c, refused := s.admitProgram(r)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	s.respondProgram(w, r, program.HomeOf(p.ByName("program")), func(ctx context.Context) (*program.View, error) {
		return s.opts.Ledger.End(ctx, program.End{Account: c.account.ID, Program: p.ByName("program")})
	})
}

// respondProgram runs an operation on a program in a home and responds with the program.
func (s *Server) respondProgram(w http.ResponseWriter, r *http.Request, home program.Home, run func(context.Context) (*program.View, error)) {
	ctx, done := s.newWaitBudget(home).step(r.Context(), beginTimeout)
	defer done()
	view, err := run(ctx)
	if err != nil {
		s.refuse(w, program.Refusal(err))
		return
	}
	writeJSON(w, newProgramBody(view))
}

func (s *Server) listPrograms(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	c, refused := s.admitProgram(r)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if query.Has("limit") && (err != nil || limit < 1 || limit > program.MaxListed) {
		s.refuse(w, badRequest("bad_query", "limit must be from 1 to 1000"))
		return
	}
	ctx, done := s.newWaitBudget(program.MajorityHome).step(r.Context(), beginTimeout)
	defer done()
	page, err := s.opts.Ledger.List(ctx, program.ListQuery{Account: c.account.ID, After: query.Get("after"), Limit: limit})
	if err != nil {
		s.refuse(w, program.Refusal(err))
		return
	}
	list := programListBody{Object: "list", Data: []programSummary{}, More: page.More, Unanswered: page.Silent}
	for _, p := range page.Programs {
		list.Data = append(list.Data, programSummary{
			ID: p.Name, Parent: p.Parent, State: p.State, NextTurn: p.NextTurn, TokensUsed: p.Used.Tokens, CallsUsed: p.Used.Calls,
		})
	}
	writeJSON(w, list)
}

// appendTurn serves POST /v1/programs/NAME/turns: a chat completion that sends only the new messages.
func (s *Server) appendTurn(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	r.Header.Set(headerProgram, p.ByName("program"))
	key, refused := readRecordKey(r.Header)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	s.serveChat(w, r, key, true)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	_ = json.NewEncoder(w).Encode(v)
}
