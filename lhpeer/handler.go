package lhpeer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpeer/lhpeerv1"
)

// handler serves the requests of peers.
type handler struct{ node *Node }

// Exchange answers a message from a peer, after the probe that the message may ask
// for.
func (h *handler) Exchange(
	ctx context.Context, r *connect.Request[lhpeerv1.ExchangeRequest],
) (*connect.Response[lhpeerv1.ExchangeResponse], error) {
	n := h.node
	msg := decodeMessage(r.Msg.GetMessage())
	n.mu.Lock()
	reply, probe := n.member.Receive(n.settings.Clock(), msg)
	if p := n.member.find(msg.From); p != nil {
		n.noteRevision(msg, p.Control)
	}
	n.mu.Unlock()
	n.wakeLoop()
	if probe != nil {
		reply.Reached = h.probe(ctx, *probe)
	}
	return connect.NewResponse(&lhpeerv1.ExchangeResponse{Message: encodeMessage(reply)}), nil
}

// probe reports whether a third member answers. Its timeout is shorter than that of
// the asking peer, so that the result reaches that peer in time.
func (h *handler) probe(ctx context.Context, r Request) bool {
	n := h.node
	reply, err := n.send(ctx, r, n.settings.Timing.Probe*3/4)
	if err != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.member.HandleResponse(n.settings.Clock(), r, reply)
	return reply.From == r.To
}

// HandOver stores the flow records that a peer hands over.
func (h *handler) HandOver(
	_ context.Context, r *connect.Request[lhpeerv1.HandOverRequest],
) (*connect.Response[lhpeerv1.HandOverResponse], error) {
	n := h.node
	if lhflow.MemberID(r.Msg.GetTo()) != n.self() {
		err := lhcode.New(lhcode.PeerReplaced, "this VM has been started anew")
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	from := lhflow.MemberID(r.Msg.GetFrom())
	if records := decodeRecords(r.Msg.GetGroups()); n.settings.Records != nil && len(records) > 0 {
		n.settings.Records.Receive(from, records)
		n.counts.recordsIn.Add(uint64(len(records)))
	}
	if r.Msg.GetDone() {
		n.mu.Lock()
		known := n.member.HandOverReceived(from)
		n.mu.Unlock()
		n.wakeLoop()
		if !known {
			err := lhcode.New(lhcode.PeerUnknown, "this VM does not know the sender yet")
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
	}
	return connect.NewResponse(&lhpeerv1.HandOverResponse{}), nil
}

// Fetch returns the configuration in force, in full or as a difference.
func (h *handler) Fetch(
	ctx context.Context, r *connect.Request[lhpeerv1.FetchRequest],
) (*connect.Response[lhpeerv1.FetchResponse], error) {
	configs := h.node.settings.Configs
	if configs == nil {
		err := lhcode.New(lhcode.NotFound, "this VM holds no configuration")
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	revision, content, err := configs.Content(ctx, r.Msg.GetHave(), r.Msg.GetWant())
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	h.node.counts.fetchesOut.Add(1)
	return connect.NewResponse(&lhpeerv1.FetchResponse{Revision: revision, Content: content}), nil
}
