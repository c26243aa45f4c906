package demo

import (
	"fmt"
	"slices"
	"time"

	"egretramp/internal/config"
	"egretramp/internal/harness"
	"egretramp/internal/workload"
)

// Size of the demo's fleet: seven VMs in three zones, nine engines, six services.
var zones = []harness.Zone{
	{Name: "north", VMs: 3, Control: 1},
	{Name: "middle", VMs: 2, Control: 1},
	{Name: "south", VMs: 2, Control: 1},
}

const enginesPerZone = 3

// departing holds the upstreams that deregister while programs run. They accept calls for another
// departLinger, so that calls which still arrive are recorded.
var departing = []string{"engine-south-3", "bajio-workshop-south"}

const (
	departAfter  = time.Second // after the first program starts
	departLinger = 6 * time.Second
)

// Speed and capacity of the demo's engines.
const (
	stepTime    = 3 * time.Millisecond
	kvTokens    = 40_000
	engineSlots = 8
)

// secretOf returns the secret of an upstream class.
func secretOf(class string) string {
	return "a demo secret of " + class
}

func deployments() []workload.Deployment {
	return []workload.Deployment{workload.Bajio(), workload.Colombo()}
}

func classes() []config.UpstreamClass {
	var list []config.UpstreamClass
	for _, kind := range []config.UpstreamKind{config.KindEngine, config.KindService, config.KindWeightStore} {
		id := string(kind) + "-class"
		list = append(list, config.UpstreamClass{ID: id, Kind: kind, Secret: secretOf(id)})
	}
	return list
}

// addUpstreams adds the simulated upstreams: in each zone three engines that serve both models and
// one replica of each deployment's service, and one weight store for all.
func addUpstreams(f *harness.Fleet) error {
	list := deployments()
	store, err := f.AddUpstream(spec(config.KindWeightStore, "weights", zones[0].Name, nil))
	if err != nil {
		return err
	}
	for _, z := range zones {
		if err := addEngines(f, z.Name, store.Address, list); err != nil {
			return err
		}
		for _, d := range list {
			s := d.Services[0]
			name := fmt.Sprintf("%s-%s", s.ID, z.Name)
			if _, err := f.AddUpstream(spec(config.KindService, name, z.Name, []string{s.ID})); err != nil {
				return err
			}
		}
	}
	return nil
}

func addEngines(f *harness.Fleet, zone, store string, list []workload.Deployment) error {
	var models []string
	for i, d := range list {
		// Each model is announced under its name in a different scheme.
		models = append(models, d.Model.Names[workload.Schemes[i]])
	}
	for i := range enginesPerZone {
		s := spec(config.KindEngine, fmt.Sprintf("engine-%s-%d", zone, i+1), zone, models)
		s.Aliases = workload.ModelAliases(list...)
		s.Args = append(s.Args,
			"--weight-store", store,
			"--step-time", stepTime.String(),
			"--kv-tokens", fmt.Sprint(kvTokens),
			"--slots", fmt.Sprint(engineSlots),
		)
		if _, err := f.AddUpstream(s); err != nil {
			return err
		}
	}
	return nil
}

func spec(kind config.UpstreamKind, name, zone string, serves []string) harness.UpstreamSpec {
	class := string(kind) + "-class"
	s := harness.UpstreamSpec{
		Name: name, Zone: zone, Kind: kind, Class: class, Secret: secretOf(class), Serves: serves,
	}
	if slices.Contains(departing, name) {
		s.Args = []string{"--stop-linger", departLinger.String()}
	}
	return s
}
