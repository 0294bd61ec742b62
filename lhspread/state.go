package lhspread

import (
	"context"
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

// State requests the state of all contacts concurrently and returns the newest one. The
// error has lhcode.PeerUnreachable if no contact returned any state.
func (n *Node) State(ctx context.Context) (lhstore.Update, error) {
	results := make(chan stateResult)
	for _, c := range n.contacts {
		go func() { results <- n.fetchState(ctx, c) }()
	}
	var newest lhstore.Update
	var lastErr error
	for range n.contacts {
		r := <-results
		if r.err != nil {
			lastErr = r.err
		} else if r.state.Revision > newest.Revision {
			newest = r.state
		}
	}
	switch {
	case newest.Revision > 0:
		return newest, nil
	case lastErr != nil:
		return newest, lhcode.Wrap(lhcode.PeerUnreachable, lastErr, "fetch state from other VMs")
	}
	return newest, lhcode.Newf(lhcode.PeerUnreachable, "none of %d contacts has any state", len(n.contacts))
}

// stateResult is the result of one call of fetchState.
type stateResult struct {
	state lhstore.Update
	err   error
}

// fetchState requests the state of the VM at a control address.
func (n *Node) fetchState(ctx context.Context, address netip.AddrPort) stateResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := lhspreadv1.NewSpreadServiceClient(n.http, "http://"+address.String(), connect.WithReadMaxBytes(maxStateSize))
	start := time.Now()
	response, err := client.State(ctx, connect.NewRequest(&lhspreadv1.StateRequest{}))
	if err != nil {
		return stateResult{err: err}
	}
	m := response.Msg
	state := lhstore.Update{
		Revision: m.GetRevision(),
		Age:      time.Duration(m.GetAge())*time.Millisecond + time.Since(start),
	}
	return stateResult{state, state.Unpack(m.GetItems())}
}

// State returns the complete state known to this VM.
func (h handler) State(
	context.Context, *connect.Request[lhspreadv1.StateRequest],
) (*connect.Response[lhspreadv1.StateResponse], error) {
	// Packing one state at a time bounds the memory used when many VMs start at once.
	h.node.packing.Lock()
	defer h.node.packing.Unlock()
	state := h.node.state()
	packed, err := state.Pack()
	if err != nil {
		h.node.log.Error().Err(err).Uint64("at", state.Revision).Msg("failed to pack state")
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	h.node.log.Info().Uint64("at", state.Revision).Dur("age", state.Age).Int("items", len(state.Items)).Msg("state given")
	return connect.NewResponse(&lhspreadv1.StateResponse{
		Revision: state.Revision, Age: uint32(state.Age.Milliseconds()), Items: packed,
	}), nil
}
