package lhpeer

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhpeer/lhpeerv1"
)

// end is what a goroutine of a node leaves behind.
type end struct {
	// requests are to be sent next.
	requests []Request
}

// loop takes decisions as they become due, and ends when ctx has and all that
// it has started.
func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(n.settings.Timing.Period / ticksPerPeriod)
	defer ticker.Stop()
	running := 0
	for ctx.Err() == nil {
		running += n.step(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-n.wake:
		case e := <-n.ends:
			running--
			running += n.start(ctx, e.requests)
		}
	}
	for ; running > 0; running-- {
		<-n.ends
	}
}

// step takes the decisions that are due and returns how many goroutines it has started.
func (n *Node) step(ctx context.Context) int {
	n.mu.Lock()
	if n.settings.Configs != nil {
		n.member.SetRevision(n.settings.Configs.Revision())
	}
	requests := n.member.Tick(n.settings.Clock())
	lost := n.member.Lost()
	n.mu.Unlock()
	if lost {
		n.rejoin()
	}
	n.show()
	return n.start(ctx, requests) + n.startFetch(ctx) + n.startExcuses(ctx)
}

// rejoin takes part under a new ID after the group has gone on without this VM.
func (n *Node) rejoin() {
	n.mu.Lock()
	old := n.member.Self().ID
	id := NewMemberID(time.Now(), old, n.member.rng)
	n.member = n.member.Rejoin(n.settings.Clock(), id)
	n.mu.Unlock()
	n.counts.rejoins.Add(1)
	n.settings.Log.Warn().Uint64("member", uint64(old)).Uint64("next", uint64(id)).
		Msg("the group has gone on without this VM; joining anew")
}

// show calls the functions of OnView if there is a new view.
func (n *Node) show() {
	n.mu.Lock()
	v := n.member.View()
	n.mu.Unlock()
	if v == n.shown {
		return
	}
	n.shown = v
	n.view.Store(v)
	n.settings.Log.Info().Uint64("view", v.Version).Int("members", len(v.Members)).Msg("view changed")
	for _, f := range n.onView {
		f(v)
	}
}

// start sends requests, each in a goroutine, and returns their number.
func (n *Node) start(ctx context.Context, requests []Request) int {
	for _, r := range requests {
		go func() { n.ends <- end{requests: n.exchange(ctx, r, n.settings.Timing.Probe)} }()
	}
	return len(requests)
}

// exchange sends a request, takes in how it ended and returns what to send next.
func (n *Node) exchange(ctx context.Context, r Request, timeout time.Duration) []Request {
	reply, err := n.send(ctx, r, timeout)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.settings.Clock()
	if err != nil {
		return n.member.Failed(now, r)
	}
	n.member.Answered(now, r, reply)
	n.notice(reply, r.Control)
	return nil
}

// send sends a request and returns its answer.
func (n *Node) send(ctx context.Context, r Request, timeout time.Duration) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := n.sendOnce(ctx, r)
	if errors.Is(err, net.ErrClosed) {
		// The connection was dropped after an earlier request had failed.
		reply, err = n.sendOnce(ctx, r)
	}
	if err != nil {
		n.transport.drop(r.Control)
	}
	return reply, err
}

func (n *Node) sendOnce(ctx context.Context, r Request) (Message, error) {
	request := connect.NewRequest(&lhpeerv1.ExchangeRequest{Message: encodeMessage(r.Message)})
	response, err := n.transport.client(r.Control).Exchange(ctx, request)
	if err != nil {
		return Message{}, lhcode.Wrap(lhcode.PeerUnreachable, err, "exchange")
	}
	return decodeMessage(response.Msg.GetMessage()), nil
}

// nudge has loop look for due decisions.
func (n *Node) nudge() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
