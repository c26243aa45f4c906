package daemon

import (
	"net/netip"

	"egretramp/internal/control"
	"egretramp/internal/settings"
)

// addressesOf returns the addresses at which this VM is reachable: those of its listeners. A listener
// that is bound to all IPs is given the IP of the VM's own entry in the peer list.
func addressesOf(s *settings.Settings) control.Addresses {
	own := ownPeerAddress(s)
	return control.Addresses{
		Callers:   fillUnspecifiedIP(s.Listen.Callers, own),
		Upstreams: fillUnspecifiedIP(s.Listen.Upstreams, own),
		Peers:     fillUnspecifiedIP(s.Listen.Peers, own),
		Admin:     fillUnspecifiedIP(s.Listen.Admin, own),
	}
}

// ownPeerAddress returns the address of this VM's entry in the peer list, "" if there is none.
func ownPeerAddress(s *settings.Settings) string {
	for _, p := range s.Peers {
		if p.VM == s.VM {
			return p.Address
		}
	}
	return ""
}

// fillUnspecifiedIP replaces an unspecified IP (0.0.0.0 or ::) in a listener's address with the IP of
// own, and returns any other address unchanged.
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
