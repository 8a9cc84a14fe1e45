package tlmember

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoillanding/core/tlwire"
)

// BenchmarkHome finds the homes of 714 pools in ten data centres among 760
// instances, and reports how many pools one instance has at most.
func BenchmarkHome(b *testing.B) {
	v := New("instance-0", times)
	now := time.Unix(1000, 0)
	var l tlwire.InstanceList
	for n := range 760 {
		l.Instances = append(l.Instances, tlwire.Instance{
			Name: fmt.Sprint("instance-", n), Kind: tlwire.InstanceKindEntry,
			DataCentre: fmt.Sprint("centre-", n%10), State: tlwire.InstanceStateLive,
		})
	}
	v.SetInstances(now, l)
	for _, i := range l.Instances {
		v.Heard(now, i.Name, 1, false)
	}
	pools := map[string]int{}
	for b.Loop() {
		clear(pools)
		for n := range 714 {
			pools[v.Home(fmt.Sprint("pool-", n), fmt.Sprint("centre-", n%10))]++
		}
	}
	start := time.Now()
	for n := range 714 {
		v.IsHome(fmt.Sprint("pool-", n), fmt.Sprint("centre-", n%10))
	}
	b.ReportMetric(float64(time.Since(start).Nanoseconds())/714, "is-home-ns")
	var counts []int
	for _, n := range pools {
		counts = append(counts, n)
	}
	b.ReportMetric(float64(slices.Max(counts)), "most-pools")
	b.ReportMetric(float64(760-len(counts)), "without-pool")
}
