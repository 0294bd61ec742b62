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

// maxState is the size in bytes of the largest state that is taken from another VM: six
// times what 41,000 backend servers and 16,000 routes take.
const maxState = 8 << 20

// State asks all contacts at the same time and returns the newest of what they know.
// The error has lhcode.PeerUnreachable where none knows anything.
func (n *Node) State(ctx context.Context) (lhstore.News, error) {
	answers := make(chan answer)
	for _, c := range n.contacts {
		go func() { answers <- n.ask(ctx, c) }()
	}
	var newest lhstore.News
	var fault error
	for range n.contacts {
		a := <-answers
		if a.err != nil {
			fault = a.err
		} else if a.news.Revision > newest.Revision {
			newest = a.news
		}
	}
	switch {
	case newest.Revision > 0:
		return newest, nil
	case fault != nil:
		return newest, lhcode.Wrap(lhcode.PeerUnreachable, fault, "ask another VM what it knows")
	}
	return newest, lhcode.Newf(lhcode.PeerUnreachable, "none of %d other VMs knows anything", len(n.contacts))
}

// answer is what one VM says that it knows.
type answer struct {
	news lhstore.News
	err  error
}

func (n *Node) ask(ctx context.Context, at netip.AddrPort) answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := lhspreadv1.NewSpreadServiceClient(n.http, "http://"+at.String(), connect.WithReadMaxBytes(maxState))
	begun := time.Now()
	response, err := client.State(ctx, connect.NewRequest(&lhspreadv1.StateRequest{}))
	if err != nil {
		return answer{err: err}
	}
	m := response.Msg
	news := lhstore.News{
		Revision: m.GetRevision(),
		Age:      time.Duration(m.GetAge())*time.Millisecond + time.Since(begun),
	}
	return answer{news, news.Unpack(m.GetItems())}
}

// State gives another VM all that this one knows.
func (h handler) State(
	context.Context, *connect.Request[lhspreadv1.StateRequest],
) (*connect.Response[lhspreadv1.StateResponse], error) {
	// One state at a time bounds the memory that many VMs starting at once take here.
	h.node.giving.Lock()
	defer h.node.giving.Unlock()
	news := h.node.state()
	packed, err := news.Pack()
	if err != nil {
		h.node.log.Error().Err(err).Uint64("at", news.Revision).Msg("state can't be packed")
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	h.node.log.Info().Uint64("at", news.Revision).Dur("age", news.Age).Int("items", len(news.Items)).Msg("state given")
	return connect.NewResponse(&lhspreadv1.StateResponse{
		Revision: news.Revision, Age: uint32(news.Age.Milliseconds()), Items: packed,
	}), nil
}
