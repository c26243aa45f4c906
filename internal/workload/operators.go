package workload

import "egretramp/internal/config"

// OpenPath is the path below which each deployment's first service can be called without a key.
const OpenPath = "/opening-hours"

// OperatorsFile returns one operators' file for the deployments.
func OperatorsFile(generation uint64, classes []config.UpstreamClass, list ...Deployment) config.File {
	f := config.File{Generation: generation, Schemes: Schemes, Upstreams: classes}
	for _, d := range list {
		f.Models = append(f.Models, d.Model)
		f.Services = append(f.Services, d.Services...)
		for _, a := range d.Accounts {
			f.ClientAccounts = append(f.ClientAccounts, a.ClientAccount)
		}
		f.Routes = append(f.Routes, d.routes()...)
	}
	return f
}

// routes returns routes that let a deployment's accounts use its model and services. It refers
// to them by names of different schemes.
func (d Deployment) routes() []config.Route {
	var accounts []string
	for i, a := range d.Accounts {
		accounts = append(accounts, a.Names[Schemes[i%len(Schemes)]])
	}
	list := []config.Route{{ID: d.Model.ID, Model: d.Model.Names[Schemes[0]], Accounts: accounts}}
	for i, s := range d.Services {
		list = append(list, config.Route{ID: s.ID, Service: s.Names[Schemes[1]], Accounts: accounts})
		if i == 0 {
			list = append(list, config.Route{ID: s.ID + "-open", Service: s.ID, PathPrefix: OpenPath, Open: true})
		}
	}
	return list
}

// Keys returns the keys of the deployments' accounts.
func Keys(list ...Deployment) map[string]string {
	keys := map[string]string{}
	for _, d := range list {
		for _, a := range d.Accounts {
			keys[a.ID] = a.Key
		}
	}
	return keys
}

// Bounds returns the rates and bursts of the deployments' accounts.
func Bounds(list ...Deployment) map[string]RateBound {
	bounds := map[string]RateBound{}
	for _, d := range list {
		for _, a := range d.Accounts {
			bounds[a.ID] = RateBound{RatePerSecond: a.RatePerSecond, Burst: a.Burst}
		}
	}
	return bounds
}

// ModelAliases maps every name of the deployments' models to the canonical ID, from which
// answers are derived.
func ModelAliases(list ...Deployment) map[string]string {
	aliases := map[string]string{}
	for _, d := range list {
		for _, n := range AllNames(d.Model.Named) {
			aliases[n] = d.Model.ID
		}
	}
	return aliases
}
