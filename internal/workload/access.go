package workload

import (
	"context"
	"fmt"
	"net/http"

	"egretramp/internal/fakes"
	"egretramp/internal/refusal"
)

// wrongKey is a key that no account has.
const wrongKey = "egk_of_nobody_77aa01"

// ProbeAccess calls a deployment's first service and its model through every VM without a key
// and with an unknown one, and checks that only the open route accepts calls without a key.
// Whether an open route rejects an unknown key is unspecified, so it is not tested.
func (c *Caller) ProbeAccess(ctx context.Context, d Deployment) Result {
	result := Result{Name: "keyless calls on open routes only, " + d.Name}
	service := d.Services[0].ID
	tool := d.Tools[service][0]
	for i, vm := range c.opts.VMs {
		name := fmt.Sprintf("access-%s-%d", d.Name, i)
		result.checkAccess(c.probeService(ctx, vm, service, OpenPath, "", name+"-open"), true, name)
		for what, key := range map[string]string{"keyless": "", "wrong": wrongKey} {
			unique := name + "-" + what
			result.checkAccess(c.probeService(ctx, vm, service, tool, key, unique), false, unique)
			result.checkAccess(c.probeChat(ctx, vm, d.Model.ID, key, unique+"-chat"), false, unique)
		}
	}
	return result
}

// checkAccess counts one call. On an open route it must be answered; elsewhere it must be
// refused for its key and as not run.
func (r *Result) checkAccess(a Attempt, open bool, name string) {
	r.Tried++
	right := a.Status == http.StatusUnauthorized && a.NotRun == refusal.True
	if open {
		right = a.Answered()
	}
	if !right {
		r.violate("%s through %s: status %d, code %q, not_run %q, error %q", name, a.VM, a.Status, a.Code, a.NotRun, a.Err)
	}
}

// accessBody makes the body of each call unique.
type accessBody struct {
	Access string `json:"access"`
}

func (c *Caller) probeService(ctx context.Context, vm, service, path, key, name string) Attempt {
	body := mustJSON(accessBody{name})
	req := request{method: http.MethodPost, path: "/v1/services/" + service + path, key: key, body: body, service: true}
	call := &Call{Program: name, Turn: 1, Kind: Service, Service: service, Path: path, BodyHash: fakes.BodyHash(body)}
	return c.probeOnce(ctx, vm, req, call)
}

func (c *Caller) probeChat(ctx context.Context, vm, model, key, name string) Attempt {
	call := &Call{Program: name, Turn: 1, Kind: Chat, Model: model, Messages: []fakes.Message{{Role: "user", Content: name}}}
	body := mustJSON(chatBody{Model: model, Messages: call.Messages})
	return c.probeOnce(ctx, vm, request{method: http.MethodPost, path: pathChat, key: key, body: body}, call)
}

func (c *Caller) probeOnce(ctx context.Context, vm string, req request, call *Call) Attempt {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	a := send(ctx, c.client, vm, req)
	call.Attempts = []Attempt{a}
	c.recorder.addCall(call)
	return a
}
