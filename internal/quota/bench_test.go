package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCoordinator_Grant measures one request for permits at the coordinator of a fleet.
func BenchmarkCoordinator_Grant(b *testing.B) {
	for _, vms := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(vms, " entry VMs"), func(b *testing.B) {
			c := NewCoordinator(0)
			rate := func(string) (Rate, bool) { return Rate{PerSecond: 20, Burst: 20}, true }
			names := make([]string, vms)
			for i := range names {
				names[i] = fmt.Sprint("10.0.0.", i, ":7780")
			}
			wants := map[string]float64{"account": 1}
			now := time.Duration(0)
			b.ReportAllocs()
			for i := range b.N {
				now += 200 * time.Millisecond / time.Duration(vms)
				c.Grant(now, Request{VM: names[i%vms], Wants: wants}, vms, rate)
			}
		})
	}
}
