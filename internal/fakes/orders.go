package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"egretramp/internal/upstream/wire"
)

// weightFetchTimeout ends a fetch from the weight store.
const weightFetchTimeout = 10 * time.Second

// OrderRecord is an engine's record of an order.
type OrderRecord struct {
	wire.Order
	Obeyed bool  `json:"obeyed"`
	AtNS   int64 `json:"at_ns"` // Unix nanoseconds
}

// orders holds the highest fencing number seen and all orders.
type orders struct {
	mu      sync.Mutex
	highest uint64
	list    []OrderRecord
}

// accept records an order and decides whether to obey it.
func (o *orders) accept(order wire.Order, check bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	obeyed := !check || order.Fencing >= o.highest
	o.highest = max(o.highest, order.Fencing)
	o.list = append(o.list, OrderRecord{order, obeyed, time.Now().UnixNano()})
	return obeyed
}

func (o *orders) all() []OrderRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]OrderRecord{}, o.list...)
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request, body []byte) {
	var order wire.Order
	if err := json.Unmarshal(body, &order); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "the body is no order")
		return
	}
	// The header counts if both are given.
	if n, err := strconv.ParseUint(r.Header.Get(wire.HeaderFencing), 10, 64); err == nil {
		order.Fencing = n
	}
	switch order.Kind {
	case wire.OrderLoadModel, wire.OrderUnloadModel, wire.OrderRole:
	default:
		writeError(w, http.StatusBadRequest, "bad_request", "unknown kind of order")
		return
	}
	if !e.orders.accept(order, !e.faults.get().IgnoreFencing) {
		writeError(w, http.StatusConflict, "old_fencing_number", "a higher fencing number was seen")
		return
	}
	if order.Kind == wire.OrderLoadModel && !e.fetchWeights(r.Context(), w, order.Model) {
		return
	}
	e.obey(order)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *engine) obey(order wire.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models = slices.DeleteFunc(e.models, func(m string) bool {
		return order.Kind != wire.OrderRole && m == order.Model
	})
	if order.Kind == wire.OrderLoadModel {
		e.models = append(e.models, order.Model)
	}
}

// fetchWeights reads a model from the weight store, if there is one, and passes its refusal on.
func (e *engine) fetchWeights(ctx context.Context, w http.ResponseWriter, model string) bool {
	sleep(ctx, e.opts.Engine.LoadTime)
	if e.opts.Engine.WeightStore == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, weightFetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.opts.Engine.WeightStore+weightsPath+model, nil)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "no such model name")
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		writeError(w, http.StatusBadGateway, "weight_store_unreachable", "the weight store cannot be reached")
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		w.Header().Set("Retry-After", resp.Header.Get("Retry-After"))
		writeError(w, http.StatusServiceUnavailable, "weights_unavailable", "the weight store refused")
		return false
	}
	return true
}
