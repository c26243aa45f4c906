package replica

import "testing"

func TestDebugSeed(t *testing.T) {
	s, err := runSeed(*firstSeed)
	t.Log(err, "losses", s.losses, "led", s.led)
	for _, m := range s.machines {
		t.Logf("%s id %x formation %x", m.vm, m.disk.identity.Replica, m.disk.identity.Formation)
		if m.node != nil {
			t.Logf("   %+v answers %v foreign %v", m.node.status(), m.node.greeter.answers, m.node.greeter.foreign)
		}
	}
}
