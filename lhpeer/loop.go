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

// taskResult is the result of a goroutine that loop started.
type taskResult struct {
	// requests holds the requests to send next.
	requests []Request
}

// loop runs decisions as they become due. It returns once ctx is done and all
// goroutines that it started have ended.
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
		case e := <-n.results:
			running--
			running += n.sendAll(ctx, e.requests)
		}
	}
	for ; running > 0; running-- {
		<-n.results
	}
}

// step runs the decisions that are due and returns the number of goroutines that it
// started.
func (n *Node) step(ctx context.Context) int {
	n.mu.Lock()
	if n.settings.Configs != nil {
		n.member.SetRevision(n.settings.Configs.Revision())
	}
	requests := n.member.Tick(n.settings.Clock())
	evicted := n.member.Evicted()
	n.mu.Unlock()
	if evicted {
		n.rejoin()
	}
	n.publishView()
	return n.sendAll(ctx, requests) + n.startFetch(ctx) + n.startEmptyHandOvers(ctx)
}

// rejoin joins the group under a new ID after the group has excluded this member.
func (n *Node) rejoin() {
	n.mu.Lock()
	old := n.member.Self().ID
	id := NewMemberID(time.Now(), old, n.member.rng)
	n.member = n.member.Rejoin(n.settings.Clock(), id)
	n.mu.Unlock()
	n.counts.rejoins.Add(1)
	n.settings.Log.Warn().Uint64("member", uint64(old)).Uint64("next", uint64(id)).
		Msg("excluded from the group; rejoining under a new ID")
}

// publishView calls the functions registered with OnView if there is a new view.
func (n *Node) publishView() {
	n.mu.Lock()
	v := n.member.View()
	n.mu.Unlock()
	if v == n.published {
		return
	}
	n.published = v
	n.view.Store(v)
	n.settings.Log.Info().Uint64("view", v.Version).Int("members", len(v.Members)).Msg("view changed")
	for _, f := range n.onView {
		f(v)
	}
}

// sendAll sends each request in its own goroutine and returns their number.
func (n *Node) sendAll(ctx context.Context, requests []Request) int {
	for _, r := range requests {
		go func() { n.results <- taskResult{requests: n.exchange(ctx, r, n.settings.Timing.Probe)} }()
	}
	return len(requests)
}

// exchange sends a request, applies its outcome and returns the requests to send
// next.
func (n *Node) exchange(ctx context.Context, r Request, timeout time.Duration) []Request {
	reply, err := n.send(ctx, r, timeout)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.settings.Clock()
	if err != nil {
		return n.member.HandleFailure(now, r)
	}
	n.member.HandleResponse(now, r, reply)
	n.noteRevision(reply, r.Control)
	return nil
}

// send sends a request and returns its reply.
func (n *Node) send(ctx context.Context, r Request, timeout time.Duration) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := n.sendOnce(ctx, r)
	if errors.Is(err, net.ErrClosed) {
		// The connection was closed after the failure of an earlier request.
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
		return Message{}, lhcode.Wrap(lhcode.PeerUnreachable, err, "exchanging messages with a peer")
	}
	return decodeMessage(response.Msg.GetMessage()), nil
}

// wakeLoop makes loop run the decisions that are due.
func (n *Node) wakeLoop() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
