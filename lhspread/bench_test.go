package lhspread

import "testing"

// BenchmarkOrder measures the cost of a membership change with the largest number of VMs.
func BenchmarkOrder(b *testing.B) {
	members := newMembers(380, 15)
	b.ReportAllocs()
	for b.Loop() {
		NewOrder("vm-1-1", members)
	}
}
