package lhspread

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/laburnumhollow/laburnumhollow/lhspread/lhspreadv1"
)

const (
	// shareInterval is the time for which observations are collected before they are sent:
	// short against the time until a caller retransmits.
	shareInterval = 100 * time.Millisecond
	// maxPending is the number of observations that are kept until then. More are dropped,
	// as others have most likely made the same ones.
	maxPending = 512
)

// Observation is what a VM has observed of a backend server. Observations are shared with
// the VMs of the same data centre: each VM sends its own to the first VM of the data
// centre, which merges them and sends them along the tree.
type Observation struct {
	// Server is the server's number, Evidence the kind of evidence and Failures the number
	// of SYNs in a row that the server has left unanswered.
	Server   uint32
	Evidence uint8
	Failures uint32
	SeenAt   time.Time
	// reporter is the hash of the name of the VM that has made the observation.
	reporter uint64
}

// pendingObservations are observations that have not been sent yet. The zero
// pendingObservations is empty.
type pendingObservations struct {
	mu sync.Mutex
	// own holds those that this VM has made and distribute those that it distributes for
	// others; together at most maxPending.
	own, distribute []Observation
}

// add appends observations and returns how many did not fit.
func (p *pendingObservations) add(list []Observation, distribute bool) (dropped int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	room := min(maxPending-len(p.own)-len(p.distribute), len(list))
	if distribute {
		p.distribute = append(p.distribute, list[:room]...)
	} else {
		p.own = append(p.own, list[:room]...)
	}
	return len(list) - room
}

// take returns and removes all observations.
func (p *pendingObservations) take() (own, distribute []Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	own, distribute = p.own, p.distribute
	p.own, p.distribute = nil, nil
	return own, distribute
}

// Share queues an observation of this VM for the other VMs of its data centre.
func (n *Node) Share(o Observation) {
	o.reporter = hashName(n.self)
	n.dropped.Add(uint64(n.pending.add([]Observation{o}, false)))
}

// Observations returns the channel of observations received from other VMs.
func (n *Node) Observations() <-chan []Observation { return n.observed }

// runSharing sends observations until ctx ends.
func (n *Node) runSharing(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-n.forwarding:
			n.deliver(ctx, d, d.targets)
		case <-ticker.C:
			n.sharePending(ctx)
		}
	}
}

// sharePending sends the observations of this VM to the first VM of the data centre that
// can be reached, and distributes those that others have sent here. If there is no other
// VM before this one, it distributes its own as well.
func (n *Node) sharePending(ctx context.Context) {
	own, distribute := n.pending.take()
	if len(own)+len(distribute) == 0 {
		return
	}
	group, self := n.order.Load().ownGroup()
	sent := len(own) == 0
	for i := 0; i < self && !sent; i++ {
		sent = n.call(ctx, delivery{observations: own}, group[i])
	}
	if !sent {
		distribute = append(distribute, own...)
	}
	if len(group) > 0 && len(distribute) > 0 {
		root := treeNode{group, 0}
		n.deliver(ctx, delivery{observations: distribute, distributed: true}, []treeNode{root})
	}
}

// observe calls the Observe method of another VM.
func (n *Node) observe(ctx context.Context, d delivery, client lhspreadv1.SpreadServiceClient) error {
	request := &lhspreadv1.ObserveRequest{Distributed: d.distributed}
	for _, o := range d.observations {
		request.Observations = append(request.Observations, &lhspreadv1.Observation{
			Server: o.Server, Evidence: uint32(o.Evidence), Failures: o.Failures,
			Age: uint32(time.Since(o.SeenAt).Milliseconds()), Reporter: o.reporter,
		})
	}
	_, err := client.Observe(ctx, connect.NewRequest(request))
	return err
}

// Observe receives observations and forwards or distributes them.
func (h handler) Observe(
	_ context.Context, r *connect.Request[lhspreadv1.ObserveRequest],
) (*connect.Response[lhspreadv1.ObserveResponse], error) {
	n, now, self := h.node, time.Now(), hashName(h.node.self)
	var list, others []Observation
	for _, o := range r.Msg.GetObservations() {
		list = append(list, Observation{
			Server: o.GetServer(), Evidence: uint8(o.GetEvidence()), Failures: o.GetFailures(),
			SeenAt: now.Add(-time.Duration(o.GetAge()) * time.Millisecond), reporter: o.GetReporter(),
		})
		if o.GetReporter() != self {
			others = append(others, list[len(list)-1])
		}
	}
	if !r.Msg.GetDistributed() {
		n.dropped.Add(uint64(n.pending.add(list, true)))
	} else {
		n.forwardObservations(list)
	}
	select {
	case n.observed <- others:
	default:
		n.dropped.Add(1)
	}
	return connect.NewResponse(&lhspreadv1.ObserveResponse{}), nil
}

// forwardObservations queues observations for the children of this VM, but those that it has
// forwarded before.
func (n *Node) forwardObservations(list []Observation) {
	targets := n.order.Load().selfChildren()
	if len(targets) == 0 {
		return
	}
	added := n.forwarded.addObservations(list)
	if len(added) == 0 {
		return
	}
	select {
	case n.forwarding <- delivery{observations: added, distributed: true, targets: targets}:
	default:
		n.dropped.Add(1)
	}
}
