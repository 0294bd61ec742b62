package lhpeer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

var (
	measuredSizes  = []int{3, 7, 25, 100, 400}
	measuredLosses = []float64{0, 0.01, 0.05}
)

// established returns a fleet whose VMs are active and know each other.
func established(b testing.TB, seed uint64, count int, dataCentres ...string) *fleet {
	f := newFleet(b, seed)
	for i := range count {
		v := f.add(dataCentres[i%len(dataCentres)], 0)
		v.self.State = lhflow.Active
	}
	for _, v := range f.vms {
		for _, w := range f.vms {
			if v != w {
				v.peers = append(v.peers, &peer{Entry: w.self, handOverReceived: true, handOverSent: true})
			}
		}
		slices.SortFunc(v.peers, func(p, q *peer) int { return cmp.Compare(p.ID, q.ID) })
		v.matchedOwner = true
		v.gossip = nil
		v.viewStale = true
		// Real VMs start at different times.
		v.nextPing = time.Duration(f.rng.Int64N(int64(v.timing.Period)))
	}
	f.run(5 * time.Second)
	return f
}

// traffic returns the number and the encoded bytes of the messages that the VMs
// have sent.
func (f *fleet) traffic() (sent, bytes uint64) {
	for _, v := range f.vms {
		sent += v.sent
		bytes += v.bytes
	}
	return sent, bytes
}

func (f *fleet) sum(count func(Counts) uint64) (sum uint64) {
	for _, v := range f.vms {
		sum += count(v.Counts())
	}
	return sum
}

// BenchmarkSteady measures a group without changes for two simulated hours, divided
// among its members.
func BenchmarkSteady(b *testing.B) {
	for _, size := range measuredSizes {
		for _, loss := range measuredLosses {
			b.Run(fmt.Sprintf("n=%d/loss=%g", size, loss), func(b *testing.B) {
				span := 2 * time.Hour / time.Duration(size)
				for b.Loop() {
					f := established(b, 1, size, hokkaido...)
					f.loss = loss
					sent, bytes := f.traffic()
					f.run(span)
					sentNow, bytesNow := f.traffic()
					seconds := float64(size) * span.Seconds()
					b.ReportMetric(float64(sentNow-sent)/seconds, "messages/s/member")
					b.ReportMetric(float64(bytesNow-bytes)/seconds, "payload-B/s/member")
					b.ReportMetric(float64(f.sum(func(c Counts) uint64 { return c.Suspicions }))/seconds*3600, "suspicions/h/member")
					b.ReportMetric(float64(f.sum(func(c Counts) uint64 { return c.Unreachable })), "false-unreachable")
					b.ReportMetric(float64(f.sum(func(c Counts) uint64 { return c.Deaths })), "false-deaths")
				}
			})
		}
	}
}

// BenchmarkKill measures how long a killed VM remains in the views of the others.
func BenchmarkKill(b *testing.B) {
	for _, size := range measuredSizes {
		for _, loss := range []float64{0, 0.05} {
			b.Run(fmt.Sprintf("n=%d/loss=%g", size, loss), func(b *testing.B) {
				for b.Loop() {
					runs := max(3, min(100, 700/size))
					var first, last, worst, payload float64
					for seed := range runs {
						f := established(b, uint64(seed), size, hokkaido...)
						f.loss = loss
						one, all, bytes := f.measureKill()
						first += one
						last += all
						worst = max(worst, all)
						payload += bytes
					}
					b.ReportMetric(first/float64(runs), "s-first")
					b.ReportMetric(last/float64(runs), "s-all")
					b.ReportMetric(worst, "s-all-worst")
					b.ReportMetric(payload/float64(runs), "payload-B/s/member")
				}
			})
		}
	}
}

// measureKill kills a VM. It returns the seconds until the first and until the last
// of the other VMs removes it from its view, and the payload per member and second.
func (f *fleet) measureKill() (first, last, payload float64) {
	f.run(time.Duration(f.rng.Int64N(int64(time.Second))))
	v := f.vms[f.rng.IntN(len(f.vms))]
	v.down = true
	id := v.Self().ID
	first = math.NaN()
	_, before := f.traffic()
	took := f.until(time.Minute, "the killed VM is gone", func() bool {
		seeing := 0
		for _, w := range f.vms {
			if w != v && w.sees(id) {
				seeing++
			}
		}
		if seeing < len(f.vms)-1 && math.IsNaN(first) {
			first = f.now.Seconds()
		}
		return seeing == 0
	})
	_, after := f.traffic()
	started := (f.now - took).Seconds()
	return first - started, took.Seconds(), float64(after-before) / took.Seconds() / float64(len(f.vms))
}

// BenchmarkRevision measures how long a revision that two VMs receive
// simultaneously takes to reach all VMs of a group, and the number of messages
// sent.
func BenchmarkRevision(b *testing.B) {
	for _, size := range append(measuredSizes, 380) {
		for _, loss := range []float64{0, 0.05} {
			b.Run(fmt.Sprintf("n=%d/loss=%g", size, loss), func(b *testing.B) {
				for b.Loop() {
					// The 15 groups represent 15 data centres; the slowest VM of
					// all determines s-worst.
					const groups = 15
					var worst, sum float64
					var extra uint64
					for seed := range groups {
						f := established(b, uint64(seed), size, hokkaido...)
						f.loss = loss
						took, sent := f.measureRevision()
						worst = max(worst, took)
						sum += took
						extra += sent
					}
					b.ReportMetric(sum/groups, "s-mean")
					b.ReportMetric(worst, "s-worst")
					b.ReportMetric(float64(extra)/groups/float64(size), "messages/member")
				}
			})
		}
	}
}

// measureRevision gives two VMs a revision. It returns the seconds until all VMs
// have it and the number of messages sent in that time.
func (f *fleet) measureRevision() (took float64, sent uint64) {
	before, _ := f.traffic()
	next := Revision{Number: 1, Digest: 1}
	f.vms[0].SetRevision(next)
	f.vms[1].SetRevision(next)
	d := f.until(time.Minute, "the revision is everywhere", func() bool {
		for _, v := range f.vms {
			if v.revision.Number < 1 {
				return false
			}
		}
		return true
	})
	after, _ := f.traffic()
	return d.Seconds(), after - before
}

// BenchmarkTick measures the CPU time per member for one second of a group: ticks,
// one request and one reply.
func BenchmarkTick(b *testing.B) {
	for _, size := range measuredSizes {
		b.Run(fmt.Sprintf("n=%d", size), func(b *testing.B) {
			f := established(b, 1, size, hokkaido...)
			b.ReportAllocs()
			for b.Loop() {
				f.run(time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(size), "ns/s/member")
		})
	}
}
