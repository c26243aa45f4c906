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

// weightFetchTimeout limits one fetch from the weight store.
const weightFetchTimeout = 10 * time.Second

// OrderRecord is an engine's record of a received order. Obeyed is false for an order rejected
// because of its fencing number.
type OrderRecord struct {
	wire.Order
	Obeyed bool `json:"obeyed"`
	// Repeat is true if an order with this ID is being executed or was executed before.
	Repeat bool  `json:"repeat,omitempty"`
	AtNS   int64 `json:"at_ns"` // Unix nanoseconds
}

// orders records all received orders and the highest fencing number among them.
type orders struct {
	mu      sync.Mutex
	highest uint64
	list    []OrderRecord
	byID    map[string]*orderRun // orders in execution or executed
}

// orderRun is the execution of one order. done is closed when its result is available.
type orderRun struct {
	done   chan struct{}
	failed *orderFailure
}

// orderFailure is the error response for an order that could not be executed.
type orderFailure struct {
	status     int
	code       string
	retryAfter string
}

// accept records an order and decides whether to execute it; run is nil if its fencing number is
// outdated. first is false if the order is already being executed or was executed before.
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

// finish records the result of an order. A failed order can be retried with the same ID.
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
	// The header takes precedence over the body.
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
		// Executed to completion, even if the sender disconnects.
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

// execute carries out an order and returns nil on success.
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

// full reports whether loading model would exceed the limit on loaded models.
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

// fetchWeights waits for LoadTime and fetches a model from the weight store, if one is
// configured. It passes on the Retry-After of a rejected request.
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
