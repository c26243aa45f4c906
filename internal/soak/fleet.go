package soak

import (
	"fmt"
	"time"

	"egretramp/internal/config"
	"egretramp/internal/harness"
	"egretramp/internal/workload"
)

// zones defines the VMs of the fleet: seven in three zones. The fleet also has six engines, six
// services and one weight store.
var zones = []harness.Zone{
	{Name: "north", VMs: 3, Control: 1},
	{Name: "middle", VMs: 2, Control: 1},
	{Name: "south", VMs: 2, Control: 1},
}

const (
	enginesPerZone = 2
	stepTime       = 3 * time.Millisecond
	kvTokens       = 40_000
	engineSlots    = 8
	// departLinger is how long a departing stand-in still accepts calls, so that work that is
	// sent too late is recorded.
	departLinger = 5 * time.Second
	// crashMark makes a stand-in crash on any request that contains it.
	crashMark = "mark-that-crashes-upstreams"
	// shutdownLimit bounds a VM's graceful shutdown.
	shutdownLimit = 20 * time.Second
	// serviceTimeout is the configured timeout of service calls; it ends a call that hangs.
	serviceTimeout = 12 * time.Second
)

// Accounts in addition to those of generated programs.
const (
	withdrawnAccounts     = 3 // accounts whose keys are withdrawn
	withdrawnAccountRate  = 200
	withdrawnAccountBurst = 200
	flooders              = 2 // accounts that send at several times their rate
	floodRate             = 10
	floodBurst            = 10
)

// participants holds the deployments and the additional accounts that they contain.
type participants struct {
	deployments       []workload.Deployment
	withdrawnAccounts []workload.Account
	flooders          []workload.Account
}

func newParticipants() *participants {
	c := &participants{}
	bajio, colombo := workload.Bajio(), workload.Colombo()
	for i := range withdrawnAccounts {
		c.withdrawnAccounts = append(c.withdrawnAccounts, newAccount(fmt.Sprintf("bajio-leaver-%d", i+1), withdrawnAccountRate, withdrawnAccountBurst))
	}
	for i := range flooders {
		c.flooders = append(c.flooders, newAccount(fmt.Sprintf("colombo-flooder-%d", i+1), floodRate, floodBurst))
	}
	for _, d := range []*workload.Deployment{&bajio, &colombo} {
		for i := range d.Services {
			d.Services[i].TimeoutSeconds = serviceTimeout.Seconds()
		}
	}
	bajio.Accounts = append(bajio.Accounts, c.withdrawnAccounts...)
	colombo.Accounts = append(colombo.Accounts, c.flooders...)
	c.deployments = []workload.Deployment{bajio, colombo}
	return c
}

// newAccount returns an account that runs no generated programs.
func newAccount(id string, rate, burst float64) workload.Account {
	a := workload.Account{}
	a.ID = id
	a.Names = map[string]string{}
	for _, s := range workload.Schemes {
		a.Names[s] = s + ":" + id
	}
	a.RatePerSecond, a.Burst = rate, burst
	a.SetKey("key-of-"+id, "egk_"+id+"_91d0c2aa57e34f08")
	return a
}

func (c *participants) keys() map[string]string {
	return workload.Keys(c.deployments...)
}

func secretOf(class string) string {
	return "a soak secret of " + class
}

func classes() []config.UpstreamClass {
	var list []config.UpstreamClass
	for _, kind := range []config.UpstreamKind{config.KindEngine, config.KindService, config.KindWeightStore} {
		id := string(kind) + "-class"
		list = append(list, config.UpstreamClass{ID: id, Kind: kind, Secret: secretOf(id)})
	}
	return list
}

// addUpstreams adds the stand-ins to the fleet. Each watches for every key from its start.
func (c *participants) addUpstreams(f *harness.Fleet) error {
	store, err := f.AddUpstream(c.spec(config.KindWeightStore, "weights", zones[0].Name, nil))
	if err != nil {
		return err
	}
	for _, z := range zones {
		for i := range enginesPerZone {
			s := c.engine(fmt.Sprintf("engine-%s-%d", z.Name, i+1), z.Name, store.Address)
			if _, err := f.AddUpstream(s); err != nil {
				return err
			}
		}
		for _, d := range c.deployments {
			id := d.Services[0].ID
			if _, err := f.AddUpstream(c.spec(config.KindService, id+"-"+z.Name, z.Name, []string{id})); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *participants) engine(name, zone, store string) harness.UpstreamSpec {
	var models []string
	for i, d := range c.deployments {
		// Each model is announced under the name of a different naming scheme.
		models = append(models, d.Model.Names[workload.Schemes[i]])
	}
	s := c.spec(config.KindEngine, name, zone, models)
	s.Aliases = workload.ModelAliases(c.deployments...)
	s.Args = append(s.Args, "--weight-store", store, "--step-time", stepTime.String(),
		"--kv-tokens", fmt.Sprint(kvTokens), "--slots", fmt.Sprint(engineSlots))
	return s
}

func (c *participants) spec(kind config.UpstreamKind, name, zone string, serves []string) harness.UpstreamSpec {
	class := string(kind) + "-class"
	s := harness.UpstreamSpec{
		Name: name, Zone: zone, Kind: kind, Class: class, Secret: secretOf(class), Serves: serves,
		Args: []string{"--stop-linger", departLinger.String(), "--crash-mark", crashMark},
	}
	for _, key := range c.keys() {
		s.Args = append(s.Args, "--watch", key)
	}
	return s
}

// shape lists the possible targets of faults.
func (c *participants) shape(f *harness.Fleet) Shape {
	s := Shape{Keys: len(c.withdrawnAccounts)}
	for _, z := range zones {
		s.Zones = append(s.Zones, z.Name)
	}
	for _, vm := range f.VMs {
		if vm.Control() {
			s.ControlVMs = append(s.ControlVMs, vm.Name)
			continue
		}
		s.EntryVMs = append(s.EntryVMs, vm.Name)
	}
	for _, u := range f.Upstreams {
		switch u.Spec.Kind {
		case config.KindEngine:
			s.Engines = append(s.Engines, u.Name)
		case config.KindService:
			s.Services = append(s.Services, u.Name)
		}
	}
	return s
}
