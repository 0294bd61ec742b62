package lhspread

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/laburnumhollow/laburnumhollow/lhspread/lhspreadv1"
)

const (
	// tallyPeriod is the time between two reports. VMs report at full seconds of the time of
	// day, so that one digest has the reports of all; where their clocks differ it has
	// the later ones a period later.
	tallyPeriod = time.Second
	// collectTime is how long the first VM of a data centre waits for the others.
	collectTime = 250 * time.Millisecond
	// maxDigestTallies is the maximum number of tallies in a message, and maxTallies that of
	// tallies that are waiting for one. maxTallyAge is how long they may wait.
	maxDigestTallies = 128
	maxTallies       = 4096
	maxTallyAge      = 3 * time.Second
	// timeScale is the number of units of Tally.Time in a message.
	timeScale = 100
)

// Tally sums up how fast a backend server has answered one or more VMs of a data centre.
type Tally struct {
	// Server is the server's number.
	Server uint32
	// Answers is the number of answers that took as long as work does, and Time the sum of
	// their times, relative to the usual one. Quick is the number of answers that
	// came too soon for work.
	Answers uint32
	Time    float64
	Quick   uint32
	// BeganAt is when the earliest of the VMs began to count.
	BeganAt time.Time
}

// difference returns how far the answers are from usual ones, all together.
func (t *Tally) difference() float64 {
	return math.Abs(t.Time-float64(t.Answers)) + float64(t.Quick)
}

// talliesByServer holds the sum of the tallies of each server. The zero value is empty.
type talliesByServer struct {
	mu   sync.Mutex
	sums map[uint32]*Tally
}

// add adds tallies to the sums. It returns how many did not fit.
func (b *talliesByServer) add(list []Tally) (dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sums == nil {
		b.sums = make(map[uint32]*Tally)
	}
	for _, t := range list {
		sum, ok := b.sums[t.Server]
		switch {
		case ok:
			sum.Answers, sum.Time, sum.Quick = sum.Answers+t.Answers, sum.Time+t.Time, sum.Quick+t.Quick
			if t.BeganAt.Before(sum.BeganAt) {
				sum.BeganAt = t.BeganAt
			}
		case len(b.sums) < maxTallies:
			b.sums[t.Server] = &t
		default:
			dropped++
		}
	}
	return dropped
}

// take removes and returns the sums that differ the most from usual, as many as a message
// holds. The others are kept until they are too old.
func (b *talliesByServer) take(now time.Time) []Tally {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Tally
	for server, t := range b.sums {
		if now.Sub(t.BeganAt) > maxTallyAge {
			delete(b.sums, server)
			continue
		}
		list = append(list, *t)
	}
	if len(list) > maxDigestTallies {
		slices.SortFunc(list, func(x, y Tally) int {
			return cmp.Or(cmp.Compare(y.difference(), x.difference()), cmp.Compare(x.Server, y.Server))
		})
		list = list[:maxDigestTallies]
	}
	for i := range list {
		delete(b.sums, list[i].Server)
	}
	return list
}

// Digests returns the channel of tallies of all VMs of the data centre.
func (n *Node) Digests() <-chan []Tally { return n.digests }

// runTallies reports and distributes tallies until ctx ends.
func (n *Node) runTallies(ctx context.Context) {
	if n.tallies == nil {
		return
	}
	report, distribute := time.NewTimer(untilReport(time.Now())), time.NewTimer(time.Hour)
	defer report.Stop()
	defer distribute.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-report.C:
			report.Reset(untilReport(time.Now()))
			distribute.Reset(collectTime)
			n.reportTallies(ctx)
		case <-distribute.C:
			n.distributeTallies(ctx)
		case d := <-n.forwardingTallies:
			n.deliver(ctx, d, d.targets)
		}
	}
}

// untilReport returns the time until the next full period of the time of day.
func untilReport(now time.Time) time.Duration {
	return now.Truncate(tallyPeriod).Add(tallyPeriod).Sub(now.Round(0))
}

// reportTallies sends the tallies of this VM to the first VM of its data centre that can be
// reached.
func (n *Node) reportTallies(ctx context.Context) {
	n.ownTallies.add(n.tallies())
	list := n.ownTallies.take(time.Now())
	if len(list) == 0 {
		return
	}
	group, self := n.order.Load().ownGroup()
	for i := 0; i < self; i++ {
		if n.call(ctx, delivery{tallies: list}, group[i]) {
			return
		}
	}
	n.dropped.Add(uint64(n.collected.add(list)))
}

// distributeTallies sends what other VMs have reported to all VMs of the data centre.
func (n *Node) distributeTallies(ctx context.Context) {
	list := n.collected.take(time.Now())
	if len(list) == 0 {
		return
	}
	n.receiveDigest(list)
	if group, _ := n.order.Load().ownGroup(); len(group) > 0 {
		n.deliver(ctx, delivery{tallies: list, distributed: true}, []treeNode{{group, 0}})
	}
}

// receiveDigest queues a digest for the reader of Digests.
func (n *Node) receiveDigest(list []Tally) {
	n.digestCount.Add(1)
	select {
	case n.digests <- list:
	default:
		n.dropped.Add(1)
	}
}

// measure calls the Measure method of another VM.
func (n *Node) measure(ctx context.Context, d delivery, client lhspreadv1.SpreadServiceClient) error {
	request := encodeTallies(d.tallies, time.Now())
	request.Distributed = d.distributed
	_, err := client.Measure(ctx, connect.NewRequest(request))
	return err
}

func encodeTallies(list []Tally, now time.Time) *lhspreadv1.MeasureRequest {
	request := new(lhspreadv1.MeasureRequest)
	for _, t := range list {
		request.Tallies = append(request.Tallies, &lhspreadv1.Tally{
			Server: t.Server, Answers: t.Answers, Time: uint32(min(t.Time*timeScale, math.MaxUint32)), Quick: t.Quick,
			Age: uint32(max(now.Sub(t.BeganAt).Milliseconds(), 0)),
		})
	}
	return request
}

// Measure receives tallies, and adds them up or forwards them.
func (h handler) Measure(
	_ context.Context, r *connect.Request[lhspreadv1.MeasureRequest],
) (*connect.Response[lhspreadv1.MeasureResponse], error) {
	n, now := h.node, time.Now()
	if n.tallies == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	var list []Tally
	for _, t := range r.Msg.GetTallies() {
		list = append(list, Tally{
			Server: t.GetServer(), Answers: t.GetAnswers(), Time: float64(t.GetTime()) / timeScale, Quick: t.GetQuick(),
			BeganAt: now.Add(-time.Duration(t.GetAge()) * time.Millisecond),
		})
	}
	if len(list) > maxDigestTallies {
		n.dropped.Add(uint64(len(list) - maxDigestTallies))
		list = list[:maxDigestTallies]
	}
	if !r.Msg.GetDistributed() {
		n.dropped.Add(uint64(n.collected.add(list)))
		return connect.NewResponse(&lhspreadv1.MeasureResponse{}), nil
	}
	if targets := n.order.Load().selfChildren(); len(targets) > 0 {
		select {
		case n.forwardingTallies <- delivery{tallies: list, distributed: true, targets: targets}:
		default:
			n.dropped.Add(1)
		}
	}
	n.receiveDigest(list)
	return connect.NewResponse(&lhspreadv1.MeasureResponse{}), nil
}
