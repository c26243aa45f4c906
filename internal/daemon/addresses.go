package daemon

import (
	"net/netip"

	"egretramp/internal/control"
	"egretramp/internal/settings"
)

// addressesOf returns where others reach this VM: its listeners, with the IP of its own entry
// among the peers where a listener takes connections on all of the VM's IPs.
func addressesOf(s *settings.Settings) control.Addresses {
	own := ownPeerAddress(s)
	return control.Addresses{
		Callers:   fillUnspecifiedIP(s.Listen.Callers, own),
		Upstreams: fillUnspecifiedIP(s.Listen.Upstreams, own),
		Peers:     fillUnspecifiedIP(s.Listen.Peers, own),
		Admin:     fillUnspecifiedIP(s.Listen.Admin, own),
	}
}

func ownPeerAddress(s *settings.Settings) string {
	for _, p := range s.Peers {
		if p.VM == s.VM {
			return p.Address
		}
	}
	return ""
}

// fillUnspecifiedIP returns a listener's address with the IP of another address of this VM if it has none
// of its own.
func fillUnspecifiedIP(listen, own string) string {
	address, err := netip.ParseAddrPort(listen)
	if err != nil || !address.Addr().IsUnspecified() {
		return listen
	}
	known, err := netip.ParseAddrPort(own)
	if err != nil {
		return listen
	}
	return netip.AddrPortFrom(known.Addr(), address.Port()).String()
}
