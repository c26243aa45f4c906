package ratelimit

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"egretramp/internal/membership"
)

// validLease is a lease that is always valid.
type validLease struct{}

func (validLease) ValidWithin(_, _ time.Duration) bool { return true }

func benchFleet(zones, perZone int) membership.Epoch {
	e := membership.Epoch{Number: 1}
	for z := range zones {
		for i := range perZone {
			e.VMs = append(e.VMs, membership.VM{Name: fmt.Sprintf("vm%02d-%02d", z, i), Zone: fmt.Sprintf("z%02d", z)})
		}
	}
	return e
}

func benchLimiter(fleet membership.Epoch, vm int, limits map[string]Limit) *Limiter {
	l := New(Options{VM: fleet.VMs[vm].Name, Zone: fleet.VMs[vm].Zone, Incarnation: 1, Lease: validLease{}})
	l.SetView(0, View{Fleet: fleet, Limits: limits})
	l.SetSettled(0, Settled{ZoneEpoch: 1})
	l.Tick(LoanHold)
	return l
}

func BenchmarkLimiter_LocalDecision(b *testing.B) {
	l := benchLimiter(benchFleet(1, 1), 0, map[string]Limit{"a": {RatePerSecond: 1e9, Burst: 1e6}})
	now := time.Second
	b.ReportAllocs()
	for i := range b.N {
		now += time.Microsecond
		request := strconv.Itoa(i)
		if d := l.Draw(now, "a", request, time.Hour).Decisions; !d[0].Granted {
			b.Fatal("refused")
		}
		if ok, _ := l.Dispatch(now, request, time.Hour); !ok {
			b.Fatal("not dispatched")
		}
		if i%1000 == 0 {
			l.Tick(now)
		}
	}
}

func BenchmarkLimiter_BorrowedDecision(b *testing.B) {
	fleet := benchFleet(1, 2)
	limits := map[string]Limit{"a": {RatePerSecond: 1e9, Burst: 1e6}}
	lender, borrower := benchLimiter(fleet, 0, limits), benchLimiter(fleet, 1, limits)
	if fleet.Holder("a", "z00") != fleet.VMs[0].Name {
		lender, borrower = borrower, lender
	}
	now := time.Second
	b.ReportAllocs()
	for i := range b.N {
		now += time.Microsecond
		request := strconv.Itoa(i)
		ask := borrower.Draw(now, "a", request, time.Hour).Sends[0]
		reply := lender.Handle(now, borrower.opts.VM, ask.Message).Sends[0]
		if d := borrower.Handle(now, lender.opts.VM, reply.Message).Decisions; !d[0].Granted {
			b.Fatal("refused")
		}
		ok, effects := borrower.Dispatch(now, request, time.Hour)
		if !ok {
			b.Fatal("not dispatched")
		}
		lender.Handle(now, borrower.opts.VM, effects.Sends[0].Message)
		if i%1000 == 0 {
			lender.Tick(now)
			borrower.Tick(now)
		}
	}
}

// BenchmarkLimiter_Accounts drives the limiter of one VM in a fleet of 396 VMs with 9,900 client
// accounts.
func BenchmarkLimiter_Accounts(b *testing.B) {
	fleet := benchFleet(12, 33)
	limits := map[string]Limit{}
	for i := range 9900 {
		limits[fmt.Sprintf("account-%04d", i)] = Limit{RatePerSecond: 10, Burst: 50}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := benchLimiter(fleet, 0, limits)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for i := range b.N {
		l.Tick(time.Second + time.Duration(i)*TickInterval)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/9900, "B/account")
	b.ReportMetric(float64(l.Status().Shares), "shares")
	start := time.Now()
	next := fleet
	next.Number++
	l.SetView(time.Hour, View{Fleet: next, Limits: limits})
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/epoch")
	limits["account-0000"] = Limit{RatePerSecond: 11, Burst: 50}
	start = time.Now()
	l.SetView(time.Hour, View{Fleet: next, Limits: limits})
	b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "ms/configuration")
	runtime.KeepAlive(limits)
}
