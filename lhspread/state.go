package lhspread

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhspread/lhspreadv1"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

// maxStateSize is the size in bytes of the largest state accepted from another VM: six
// times the size of a state with 41,000 backend servers and 16,000 routes.
const maxStateSize = 8 << 20

// State requests the changes after a revision from another VM, or, if
// after is zero, the complete state from all contacts, of which it returns the newest. The
// error has lhcode.PeerUnreachable if none was obtained.
func (n *Node) State(ctx context.Context, after lhstore.Revision, from lhstore.Source) (lhstore.Update, error) {
	if !after.IsZero() {
		return n.fetchChanges(ctx, after, from)
	}
	results := make(chan stateResult)
	for _, c := range n.contacts {
		go func() { results <- n.fetchState(ctx, c, lhstore.Revision{}) }()
	}
	var newest lhstore.Update
	var lastErr error
	for range n.contacts {
		r := <-results
		if r.err != nil {
			lastErr = r.err
		} else if r.state.Revision.Compare(newest.Revision) > 0 {
			newest = r.state
		}
	}
	switch {
	case !newest.Revision.IsZero():
		return newest, nil
	case lastErr != nil:
		return newest, lhcode.Wrap(lhcode.PeerUnreachable, lastErr, "fetch state from other VMs")
	}
	return newest, lhcode.Newf(lhcode.PeerUnreachable, "none of %d contacts has any state", len(n.contacts))
}

// fetchChanges requests the changes after a revision from one VM of the data centre. If an update
// was missed there as well, it requests them from one VM elsewhere.
func (n *Node) fetchChanges(ctx context.Context, after lhstore.Revision, from lhstore.Source) (lhstore.Update, error) {
	order := n.order.Load()
	m, ok := order.source(from, rand.IntN)
	if !ok {
		return lhstore.Update{}, lhcode.New(lhcode.PeerUnreachable, "no other VM is known")
	}
	r := n.fetchState(ctx, m.Control, after)
	if from == lhstore.FromAny && (r.err != nil || r.state.Revision.Compare(after) <= 0) {
		if other, ok := order.elsewhere(from, rand.IntN); ok {
			if remote := n.fetchState(ctx, other.Control, after); remote.err == nil {
				r = remote
			}
		}
	}
	return r.state, lhcode.Wrap(lhcode.PeerUnreachable, r.err, "fetch changes from another VM")
}

// stateResult is the result of one call of fetchState.
type stateResult struct {
	state lhstore.Update
	err   error
}

// fetchState requests the changes after a revision from the VM at a control address.
func (n *Node) fetchState(ctx context.Context, address netip.AddrPort, after lhstore.Revision) stateResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := lhspreadv1.NewSpreadServiceClient(n.http, "http://"+address.String(), connect.WithReadMaxBytes(maxStateSize))
	start := time.Now()
	response, err := client.State(ctx, connect.NewRequest(&lhspreadv1.StateRequest{Era: after.Era, After: after.Number}))
	if err != nil {
		return stateResult{err: err}
	}
	m := response.Msg
	state := lhstore.Update{
		After:    revisionOf(m.GetEra(), m.GetAfter()),
		Revision: revisionOf(m.GetEra(), m.GetRevision()),
		Age:      time.Duration(m.GetAge())*time.Millisecond + time.Since(start),
	}
	return stateResult{state, state.Unpack(m.GetItems())}
}

// State returns the changes after a revision that this VM knows, or its complete state.
func (h handler) State(
	_ context.Context, r *connect.Request[lhspreadv1.StateRequest],
) (*connect.Response[lhspreadv1.StateResponse], error) {
	// Packing one state at a time bounds the memory used when many VMs start at once.
	h.node.packing.Lock()
	defer h.node.packing.Unlock()
	state := h.node.state(revisionOf(r.Msg.GetEra(), r.Msg.GetAfter()))
	packed, err := state.Pack()
	if err != nil {
		h.node.log.Error().Err(err).Stringer("at", state.Revision).Msg("failed to pack state")
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	h.node.log.Info().Stringer("after", state.After).Stringer("at", state.Revision).Dur("age", state.Age).Int("items", len(state.Items)).Msg("state given")
	return connect.NewResponse(&lhspreadv1.StateResponse{
		Era: state.Revision.Era, After: state.After.Number, Revision: state.Revision.Number, Age: uint32(state.Age.Milliseconds()), Items: packed,
	}), nil
}

// revisionOf returns the revision with a number in an era. In messages, the number 0 stands
// for the zero Revision.
func revisionOf(era, number uint64) lhstore.Revision {
	if number == 0 {
		return lhstore.Revision{}
	}
	return lhstore.Revision{Era: era, Number: number}
}
