package lhspread

import "testing"

// BenchmarkOrder measures what a change of the members costs at full size.
func BenchmarkOrder(b *testing.B) {
	members := fleet(380, 15)
	b.ReportAllocs()
	for b.Loop() {
		NewOrder("vm-1-1", members)
	}
}
