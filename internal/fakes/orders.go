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
	Obeyed bool `json:"obeyed"`
	// Repeat says that the order's ID was known.
	Repeat bool  `json:"repeat,omitempty"`
	AtNS   int64 `json:"at_ns"` // Unix nanoseconds
}

// orders holds the highest fencing number seen and all orders.
type orders struct {
	mu      sync.Mutex
	highest uint64
	list    []OrderRecord
	byID    map[string]*orderRun // those that are carried out or were
}

// orderRun is one order as it is carried out. done is closed when its answer is known.
type orderRun struct {
	done   chan struct{}
	failed *orderFailure
}

// orderFailure is why an order was not carried out.
type orderFailure struct {
	status     int
	code       string
	retryAfter string
}

// accept records an order and decides whether to obey it. first is false for an order that is
// carried out already, or was.
func (o *orders) accept(order wire.Order, check bool) (run *orderRun, first bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	obeyed := !check || order.Fencing >= o.highest
	o.highest = max(o.highest, order.Fencing)
	known := o.byID[order.ID]
	o.list = append(o.list, OrderRecord{order, obeyed, known != nil, time.Now().UnixNano()})
	if !obeyed {
		return nil, false
	}
	if known != nil {
		return known, false
	}
	run = &orderRun{done: make(chan struct{})}
	if order.ID != "" {
		if o.byID == nil {
			o.byID = map[string]*orderRun{}
		}
		o.byID[order.ID] = run
	}
	return run, true
}

// finish notes an order's end. One that failed may be tried again under its ID.
func (o *orders) finish(order wire.Order, run *orderRun, failed *orderFailure) {
	o.mu.Lock()
	defer o.mu.Unlock()
	run.failed = failed
	if failed != nil {
		delete(o.byID, order.ID)
	}
	close(run.done)
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
	run, first := e.orders.accept(order, !e.faults.get().IgnoreFencing)
	if run == nil {
		writeError(w, http.StatusConflict, "old_fencing_number", "a higher fencing number was seen")
		return
	}
	if first {
		// Carried out to its end, also if the sender goes away.
		e.orders.finish(order, run, e.execute(context.WithoutCancel(r.Context()), order))
	}
	<-run.done
	if e.faults.get().LoseOrderAnswers {
		panic(http.ErrAbortHandler)
	}
	if f := run.failed; f != nil {
		w.Header().Set("Retry-After", f.retryAfter)
		writeError(w, f.status, f.code, "the order was not carried out")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// execute does what an order says, and returns why it could not.
func (e *engine) execute(ctx context.Context, order wire.Order) *orderFailure {
	if order.TimeoutMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(order.TimeoutMS)*time.Millisecond)
		defer cancel()
	}
	if order.Kind == wire.OrderLoadModel {
		if e.full(order.Model) {
			return &orderFailure{status: http.StatusInsufficientStorage, code: "too_many_models"}
		}
		if f := e.fetchWeights(ctx, order.Model); f != nil {
			return f
		}
	}
	e.applyOrder(order)
	return nil
}

// full reports whether the engine holds as many models as it can.
func (e *engine) full(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := e.opts.Engine.Models
	return most > 0 && len(e.models) >= most && !slices.Contains(e.models, model)
}

func (e *engine) applyOrder(order wire.Order) {
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
func (e *engine) fetchWeights(ctx context.Context, model string) *orderFailure {
	sleep(ctx, e.opts.Engine.LoadTime)
	if e.opts.Engine.WeightStore == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, weightFetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.opts.Engine.WeightStore+weightsPath+model, nil)
	if err != nil {
		return &orderFailure{status: http.StatusBadRequest, code: "bad_request"}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &orderFailure{status: http.StatusBadGateway, code: "weight_store_unreachable"}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return &orderFailure{
			status: http.StatusServiceUnavailable, code: "weights_unavailable", retryAfter: resp.Header.Get("Retry-After"),
		}
	}
	return nil
}
