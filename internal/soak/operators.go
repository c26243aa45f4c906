package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"egretramp/internal/admin/api"
	"egretramp/internal/config"
	"egretramp/internal/harness"
	"egretramp/internal/workload"
)

// Timeouts and retry pause of operators.
const (
	applyTimeout = 3 * time.Second
	applyLimit   = 25 * time.Second
	applyPause   = 300 * time.Millisecond
)

// accepted records a file that the control group accepted.
type accepted struct {
	generation uint64
	hash       string
	at         time.Time // time of the first answer
}

// withdrawal records that an accepted file removed an account's key.
type withdrawal struct {
	account string
	at      time.Time
}

// rateChange is a new rate and burst of an account. It is in force on no VM before from, and on
// every reachable VM after to.
type rateChange struct {
	account  string
	bound    workload.RateBound
	from, to time.Time
}

// operators apply configuration files. They act one at a time, except in races.
type operators struct {
	participants *participants
	vms          []*harness.VM
	random       *rand.Rand
	client       *http.Client
	logf         func(format string, args ...any)

	actMu sync.Mutex // held during each action

	generation uint64
	withdrawn  map[string]bool // accounts whose key was withdrawn
	last       []byte          // the newest file accepted
	previous   []byte          // the one before it

	mu          sync.Mutex
	accepted    []accepted
	withdrawals []withdrawal
	rateChanges []rateChange
	races       tally
	resends     tally
	// refusals holds how long VMs took to refuse an apply because they reach no majority.
	refusals []time.Duration
}

// tally counts attempts and collects descriptions of failures.
type tally struct {
	tried    int
	failures []string
}

func (c *tally) record(ok bool, format string, args ...any) {
	c.tried++
	if !ok {
		c.failures = append(c.failures, fmt.Sprintf(format, args...))
	}
}

func newOperators(c *participants, f *harness.Fleet, seed int64, logf func(string, ...any)) *operators {
	return &operators{
		participants: c, vms: f.VMs, logf: logf, withdrawn: map[string]bool{},
		random: rand.New(rand.NewSource(seed)),
		client: &http.Client{Timeout: applyTimeout, Transport: f.AdminTransport()},
	}
}

// file returns the configuration file for the currently wanted settings.
func (o *operators) file(generation uint64) []byte {
	f := workload.OperatorsFile(generation, classes(), o.participants.deployments...)
	for i := range f.ClientAccounts {
		if o.withdrawn[f.ClientAccounts[i].ID] {
			f.ClientAccounts[i].Keys = []config.Key{}
		}
	}
	data, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		panic("soak: cannot encode the operators' file: " + err.Error())
	}
	return data
}

// apply sends a file to one VM, without retries.
func (o *operators) apply(ctx context.Context, vm *harness.VM, file []byte, operator string) (api.Applied, error) {
	var applied api.Applied
	u := vm.AdminURL(api.PathApply) + "?operator=" + url.QueryEscape(operator)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(file))
	if err != nil {
		return applied, err
	}
	begin := time.Now()
	resp, err := o.client.Do(req)
	if err != nil {
		return applied, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return applied, err
	}
	if resp.StatusCode == http.StatusOK {
		return applied, json.Unmarshal(data, &applied)
	}
	var body api.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error == nil {
		return applied, errors.Newf("soak: apply answered with status %d: %.200s", resp.StatusCode, data)
	}
	if body.Error.Code == api.CodeNoMajority {
		o.mu.Lock()
		o.refusals = append(o.refusals, time.Since(begin))
		o.mu.Unlock()
	}
	return applied, body.Error
}

// answer is the answer to an apply and the time at which it arrived.
type answer struct {
	api.Applied
	at time.Time
}

// applyUntilFinal sends a file to one VM after another until it is accepted or finally refused.
func (o *operators) applyUntilFinal(ctx context.Context, file []byte, operator string, first int) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, applyLimit)
	defer cancel()
	for i := first; ; i++ {
		applied, err := o.apply(ctx, o.vms[i%len(o.vms)], file, operator)
		if err == nil || isFinal(err) {
			return answer{applied, time.Now()}, err
		}
		if ctx.Err() != nil {
			return answer{}, errors.Wrap(err, "soak: no answer to an apply")
		}
		sleep(ctx, applyPause)
	}
}

// isFinal reports whether err is a refusal by the control group, which a retry would not change.
func isFinal(err error) bool {
	var known *api.Error
	if !errors.As(err, &known) {
		return false
	}
	again := []string{api.CodeNoMajority, api.CodeTimeout, api.CodeInternal}
	return !slices.Contains(again, known.Code)
}

func (o *operators) anyVM() int {
	return o.random.Intn(len(o.vms))
}

// change applies the currently wanted file under the next generation.
func (o *operators) change(ctx context.Context) error {
	file := o.file(o.generation + 1)
	applied, err := o.applyUntilFinal(ctx, file, "first-operator", o.anyVM())
	if err != nil {
		return err
	}
	o.recordAccepted(applied, file)
	return nil
}

func (o *operators) recordAccepted(applied answer, file []byte) {
	o.generation = applied.Generation
	o.previous, o.last = o.last, file
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted = append(o.accepted, accepted{applied.Generation, applied.Hash, applied.at})
}

// do performs one operator action of the plan.
func (o *operators) do(ctx context.Context, f Fault) error {
	o.logf("operators: %s", f.Kind)
	switch f.Kind {
	case ChangeRate:
		return o.changeRate(ctx)
	case Race:
		return o.race(ctx)
	case Resend:
		return o.resend(ctx)
	case WithdrawKey:
		return o.withdraw(ctx)
	}
	return nil
}

func (o *operators) changeRate(ctx context.Context) error {
	a := &o.participants.flooders[o.random.Intn(len(o.participants.flooders))]
	a.RatePerSecond = float64(5 + o.random.Intn(15))
	a.Burst = float64(5 + o.random.Intn(10))
	for d := range o.participants.deployments {
		for i := range o.participants.deployments[d].Accounts {
			if b := &o.participants.deployments[d].Accounts[i]; b.ID == a.ID {
				b.ClientAccount = a.ClientAccount
			}
		}
	}
	begin := time.Now()
	if err := o.change(ctx); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	bound := workload.RateBound{RatePerSecond: a.RatePerSecond, Burst: a.Burst}
	o.rateChanges = append(o.rateChanges, rateChange{a.ID, bound, begin, time.Now().Add(inForceLimit)})
	return nil
}

// race lets two operators apply different files under the same generation. One must win, and the
// refusal of the other must name the winner.
func (o *operators) race(ctx context.Context) error {
	file := o.file(o.generation + 1)
	files := [][]byte{file, append([]byte("// by the second operator\n"), file...)}
	var applied [2]answer
	var errs [2]error
	at := o.anyVM()
	var wg conc.WaitGroup
	for i := range files {
		wg.Go(func() {
			applied[i], errs[i] = o.applyUntilFinal(ctx, files[i], fmt.Sprintf("operator-%d", i+1), at+i*3)
		})
	}
	wg.Wait()
	winner := slices.IndexFunc(errs[:], func(err error) bool { return err == nil })
	if winner < 0 {
		return errors.CombineErrors(errs[0], errs[1])
	}
	o.recordAccepted(applied[winner], files[winner])
	loser := errs[1-winner]
	o.mu.Lock()
	defer o.mu.Unlock()
	o.races.record(reportsWinner(loser, applied[winner]), "generation %d: %v, %v", o.generation, errs[0], errs[1])
	return nil
}

// reportsWinner reports whether the error of a race's loser names the file that won.
func reportsWinner(err error, won answer) bool {
	var refused *api.Error
	if !errors.As(err, &refused) || refused.Winner == nil {
		return false
	}
	return refused.Winner.Generation == won.Generation && refused.Winner.Hash == won.Hash
}

// resend applies the newest file and the one before it again; both must get their first answer.
// A changed file under the old generation must be refused.
func (o *operators) resend(ctx context.Context) error {
	if o.previous == nil {
		return nil
	}
	newest, err := o.applyUntilFinal(ctx, o.last, "second-operator", o.anyVM())
	if err != nil && !isFinal(err) {
		return err
	}
	older, errOlder := o.applyUntilFinal(ctx, o.previous, "second-operator", o.anyVM())
	if errOlder != nil && !isFinal(errOlder) {
		return errOlder
	}
	changed := append([]byte("// changed\n"), o.previous...)
	_, errChanged := o.applyUntilFinal(ctx, changed, "second-operator", o.anyVM())
	if errChanged != nil && !isFinal(errChanged) {
		return errChanged
	}
	stale := reportsWinner(errChanged, newest)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.resends.record(err == nil && newest.Generation == o.generation, "newest file: %v", err)
	o.resends.record(errOlder == nil && older.Generation < o.generation && older.Newest == o.generation, "older file: %+v, %v", older, errOlder)
	o.resends.record(stale, "changed file under an old generation: %v", errChanged)
	return nil
}

// withdraw applies a file that removes the key of the next account.
func (o *operators) withdraw(ctx context.Context) error {
	for _, a := range o.participants.withdrawnAccounts {
		if o.withdrawn[a.ID] {
			continue
		}
		o.withdrawn[a.ID] = true
		if err := o.change(ctx); err != nil {
			return err
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.withdrawals = append(o.withdrawals, withdrawal{a.ID, o.accepted[len(o.accepted)-1].at})
		return nil
	}
	return nil
}
