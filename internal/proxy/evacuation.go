package proxy

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/registry"
)

// evacuatedRetryAfter is the retry hint while all upstreams of a service are in zones that are out of service. It is
// unknown when the operators return one to service; a VM learns of that well within this time.
const evacuatedRetryAfter = time.Second

// errZoneEvacuated ends an attempt whose upstream's zone was taken out of service while its connection was opened.
var errZoneEvacuated = errors.New("proxy: the upstream's availability zone is out of service")

// withoutZones returns the upstreams in zones that are not excluded. It doesn't modify the list.
func withoutZones(upstreams []registry.Upstream, excluded func(zone string) bool) []registry.Upstream {
	isExcluded := func(u registry.Upstream) bool { return excluded(u.Zone) }
	if !slices.ContainsFunc(upstreams, isExcluded) {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), isExcluded)
}

// zonesEvacuated reports whether there are upstreams that could serve the request, and all of them are in zones that are
// out of service.
func (x *exchange) zonesEvacuated() bool {
	s := x.server
	inService := func(u registry.Upstream) bool { return !s.opts.Evacuated(u.Zone) && x.mayContinue(u) }
	if slices.ContainsFunc(s.opts.Directory.View().Services[x.service.Name], inService) {
		return false // the usual case, without making a list
	}
	return !slices.ContainsFunc(x.upstreams(), x.mayContinue) &&
		slices.ContainsFunc(x.listUpstreams(func(string) bool { return false }), x.mayContinue)
}
