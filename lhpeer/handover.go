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
	// recordsPerCall is how many records one call hands over.
	recordsPerCall = 256
	// RecordBytes is what a record takes in a hand-over, rounded up.
	RecordBytes = 24
	// handOverTimeout limits one call.
	handOverTimeout = 5 * time.Second
)

// Push hands records over to another member, paced to the budget for control
// traffic. With done it also says that this VM has handed over all that the
// member is to own. On an error some of the batch may have arrived; to push it
// again does no harm.
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
		n.member.Released(to)
		n.mu.Unlock()
	}
	return nil
}

// SetBudget changes the limit of control traffic to so many bytes per second.
func (n *Node) SetBudget(bytesPerSecond int) { n.budget.set(bytesPerSecond) }

// pushPart makes one call of a hand-over. A call without records is small, and a
// member waits for it before it can take its part of the work, so it is not paced.
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

// Unreleased returns the joining members that this VM still has to hand over to:
// they wait for a Push with done. It is empty while this VM joins itself.
func (n *Node) Unreleased() []lhflow.MemberID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.member.Unreleased()
}

// startExcuses tells joining members that this VM has nothing to hand over, if
// that is so, and returns the number of goroutines that it has started.
func (n *Node) startExcuses(ctx context.Context) int {
	if n.settings.Records != nil {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.settings.Clock()
	started := 0
	for _, id := range n.member.Unreleased() {
		if now < n.excuses[id] {
			continue
		}
		// The call ends before its next try is due.
		n.excuses[id] = now + handOverTimeout + n.settings.Timing.Probe
		started++
		go func() { n.ends <- n.excuse(ctx, id) }()
	}
	return started
}

// excuse tells one joining member that this VM has nothing to hand over. A
// member that does not know this VM yet refuses that and is told again.
func (n *Node) excuse(ctx context.Context, id lhflow.MemberID) end {
	err := n.Push(ctx, id, nil, true)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.excuses, id)
	if err != nil {
		n.counts.failedPushes.Add(1)
		n.excuses[id] = n.settings.Clock() + n.settings.Timing.Period/ticksPerPeriod
	}
	return end{}
}

// control returns the address of a member.
func (n *Node) control(id lhflow.MemberID) (netip.AddrPort, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.member.find(id)
	if p == nil || p.final() {
		return netip.AddrPort{}, lhcode.Newf(lhcode.PeerUnknown, "member %x is not in the group", uint64(id))
	}
	return p.Control, nil
}

// self returns the ID under which this VM takes part.
func (n *Node) self() lhflow.MemberID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.member.Self().ID
}
