package soak

import (
	"context"
	"encoding/json"
	"slices"

	"egretramp/internal/fakes"
	"egretramp/internal/harness"
	"egretramp/internal/workload"
)

// collectEvidence gathers the records of callers, stand-ins, operators and polls.
func (s *soak) collectEvidence(ctx context.Context) (*evidence, error) {
	e := &evidence{outages: s.inject.outages, vmByListener: map[string]string{}}
	e.Calls = append(s.warmUp.Calls(), s.traffic.recorder.Calls()...)
	e.Outcomes = append(s.warmUp.Outcomes(), s.traffic.recorder.Outcomes()...)
	e.Bounds = workload.Bounds(newParticipants().deployments...)
	e.Engines = s.memory
	for _, vm := range s.fleet.VMs {
		e.vmByListener[vm.Settings.Listen.Callers] = vm.Name
	}
	for _, u := range s.fleet.Upstreams {
		records, err := u.Records()
		if err != nil {
			return nil, err
		}
		e.Runs = append(e.Runs, records.Runs...)
		e.Departures = append(e.Departures, records.Departures...)
		if err := s.searchKeys(ctx, e, u, records); err != nil {
			return nil, err
		}
	}
	e.accepted, e.withdrawals, e.rateChanges = s.operators.accepted, s.operators.withdrawals, s.operators.rateChanges
	e.races, e.resends, e.refusals = s.operators.races, s.operators.resends, s.operators.refusals
	e.observations = s.poller.all()
	e.shutdowns, e.problems = s.inject.shutdowns, s.inject.problems
	e.poisons, e.partitions = s.inject.poisons, s.inject.partitions
	e.access, e.alive, e.newest = s.access, s.alive, s.newest
	return e, nil
}

// searchKeys looks for every key in the records of all incarnations of a stand-in, which watches
// for the keys from its start. As a control, it also searches for data that did arrive.
func (s *soak) searchKeys(ctx context.Context, e *evidence, u *harness.Upstream, records fakes.Records) error {
	for _, key := range s.participants.keys() {
		reply := fakes.ReceivedReply{Contains: slices.Contains(records.Seen, key), Complete: true}
		e.Searches = append(e.Searches, workload.KeySearch{Upstream: u.Name, ReceivedReply: reply})
	}
	return e.SearchArrived(ctx, u.Name, u.Control)
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("soak: cannot encode: " + err.Error())
	}
	return data
}
