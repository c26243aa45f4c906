package settings

import (
	"fmt"
	"net/netip"

	"egretramp/internal/jsonfile"
)

// checkListeners reports listeners that have the same address.
func checkListeners(doc *jsonfile.Document, listen Listen) {
	taken := map[string]string{}
	for _, l := range []struct{ name, address string }{
		{"callers", listen.Callers},
		{"upstreams", listen.Upstreams},
		{"peers", listen.Peers},
		{"admin", listen.Admin},
	} {
		if l.address == "" {
			continue
		}
		if other, clash := taken[l.address]; clash {
			doc.Report(fmt.Sprintf("%s is already the address of %q", l.address, other),
				"an address of its own for each listener", "listen", l.name)
		}
		taken[l.address] = l.name
	}
}

// checkPeers reports duplicate VMs, unusable addresses, and a number of control VMs other than 1 to
// MaxControlPeers.
func checkPeers(doc *jsonfile.Document, peers []Peer) {
	names, addresses := map[string]bool{}, map[string]bool{}
	control := 0
	for i, p := range peers {
		if p.VM != "" && names[p.VM] {
			doc.Report(fmt.Sprintf("VM %q stands here twice", p.VM), "each VM once", "peers", i, "vm")
		}
		names[p.VM] = true
		checkPeerAddress(doc, i, p.Address, addresses)
		if p.Control {
			control++
		}
	}
	if control == 0 {
		doc.Report("no peer has the control role", "1 to 8 peers with \"control\": true", "peers")
	}
	if control > MaxControlPeers {
		doc.Report(fmt.Sprintf("%d peers have the control role", control),
			"1 to 8 peers with \"control\": true", "peers")
	}
}

func checkPeerAddress(doc *jsonfile.Document, i int, text string, addresses map[string]bool) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return // already reported by the schema's check
	}
	if address.Addr().IsUnspecified() {
		doc.Report("other VMs can't connect to "+text, "the IP of one VM", "peers", i, "address")
	}
	if addresses[address.String()] {
		doc.Report(text+" stands here twice", "an address of its own for each VM", "peers", i, "address")
	}
	addresses[address.String()] = true
}

// checkSelf checks that the VM's own entry among the peers exists and matches the rest of the file.
func checkSelf(doc *jsonfile.Document, s *Settings) {
	if s.VM == "" {
		return
	}
	for i, p := range s.Peers {
		if p.VM != s.VM {
			continue
		}
		if p.Zone != "" && s.Zone != "" && p.Zone != s.Zone {
			doc.Report(fmt.Sprintf("zone %q differs from this VM's zone %q", p.Zone, s.Zone),
				s.Zone, "peers", i, "zone")
		}
		if p.Control && s.DataFolder == "" {
			doc.Report("this VM has the control role but no data_folder",
				"a data_folder, or no control role", "peers", i, "control")
		}
		checkOwnPort(doc, i, p.Address, s.Listen.Peers)
		return
	}
	doc.Report(fmt.Sprintf("this VM, %q, is not among the peers", s.VM), "all VMs, this one included", "peers")
}

// checkOwnPort checks that the VM's address among the peers matches its listener for peers.
func checkOwnPort(doc *jsonfile.Document, i int, own, listener string) {
	address, err := netip.ParseAddrPort(own)
	if err != nil {
		return
	}
	listen, err := netip.ParseAddrPort(listener)
	if err != nil {
		return
	}
	sameIP := listen.Addr().IsUnspecified() || listen.Addr() == address.Addr()
	if !sameIP || listen.Port() != address.Port() {
		doc.Report(fmt.Sprintf("this VM listens for other VMs on %s", listener),
			"the address in listen.peers", "peers", i, "address")
	}
}
