package lhpeer

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpeer/lhpeerv1"
)

const (
	// recordsPerCall is the maximum number of records in one call.
	recordsPerCall = 256
	// RecordBytes is the encoded size of a record in a hand-over, rounded up.
	RecordBytes = 24
	// handOverTimeout is the timeout of one call.
	handOverTimeout = 5 * time.Second
)

// Push hands over records to another member, paced by the budget for control
// traffic. With done set, it also reports that this VM has handed over all records
// that the member is to own. After an error a part of the batch may have arrived;
// pushing it again is harmless.
func (n *Node) Push(ctx context.Context, to lhflow.MemberID, batch []lhflow.Record, done bool) error {
	control, err := n.control(to)
	if err != nil {
		return err
	}
	for {
		part := batch[:min(recordsPerCall, len(batch))]
		batch = batch[len(part):]
		last := len(batch) == 0
		if err := n.pushPart(ctx, control, to, part, done && last); err != nil {
			return err
		}
		if last {
			break
		}
	}
	if done {
		n.mu.Lock()
		n.member.HandOverSent(to)
		n.mu.Unlock()
	}
	return nil
}

// SetBudget changes the limit of control traffic to bytesPerSecond.
func (n *Node) SetBudget(bytesPerSecond int) { n.budget.set(bytesPerSecond) }

// pushPart makes one call of a hand-over. A call without records is small, and the
// joining member waits for it before it becomes active, so it is not paced.
func (n *Node) pushPart(
	ctx context.Context, control netip.AddrPort, to lhflow.MemberID, part []lhflow.Record, done bool,
) error {
	if len(part) > 0 {
		if err := n.budget.wait(ctx, len(part)*RecordBytes); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	_, err := n.transport.client(control).HandOver(ctx, connect.NewRequest(&lhpeerv1.HandOverRequest{
		From:   uint64(n.self()),
		To:     uint64(to),
		Groups: encodeRecords(part),
		Done:   done,
	}))
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return lhcode.Wrap(lhcode.PeerReplaced, err, "handing over")
	}
	if err != nil {
		return lhcode.Wrap(lhcode.PeerUnreachable, err, "handing over")
	}
	n.counts.recordsOut.Add(uint64(len(part)))
	return nil
}

// PendingHandOvers returns the joining members to which this VM has not completed
// its hand-over; they wait for a Push with done set. It is empty while this VM is
// joining.
func (n *Node) PendingHandOvers() []lhflow.MemberID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.member.PendingHandOvers()
}

// startEmptyHandOvers reports a completed hand-over to joining members if this VM
// has no records to hand over. It returns the number of goroutines that it started.
func (n *Node) startEmptyHandOvers(ctx context.Context) int {
	if n.settings.Records != nil {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.settings.Clock()
	started := 0
	for _, id := range n.member.PendingHandOvers() {
		if now < n.emptyHandOvers[id] {
			continue
		}
		// The call times out before the next attempt is due.
		n.emptyHandOvers[id] = now + handOverTimeout + n.settings.Timing.Probe
		started++
		go func() { n.results <- n.sendEmptyHandOver(ctx, id) }()
	}
	return started
}

// sendEmptyHandOver reports a completed hand-over to one joining member. A member
// that does not know this VM yet rejects the report, and it is sent again.
func (n *Node) sendEmptyHandOver(ctx context.Context, id lhflow.MemberID) taskResult {
	err := n.Push(ctx, id, nil, true)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.emptyHandOvers, id)
	if err != nil {
		n.counts.failedPushes.Add(1)
		n.emptyHandOvers[id] = n.settings.Clock() + n.settings.Timing.Period/ticksPerPeriod
	}
	return taskResult{}
}

// control returns the control address of a member.
func (n *Node) control(id lhflow.MemberID) (netip.AddrPort, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.member.find(id)
	if p == nil || p.final() {
		return netip.AddrPort{}, lhcode.Newf(lhcode.PeerUnknown, "member %x is not in the group", uint64(id))
	}
	return p.Control, nil
}

// self returns this VM's current member ID.
func (n *Node) self() lhflow.MemberID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.member.Self().ID
}
