package lhpeer

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhpeer/lhpeerv1"
)

// fetchTimeout limits the fetch of a configuration.
const fetchTimeout = 3 * time.Second

// source is a peer that has a revision in force.
type source struct {
	control  netip.AddrPort
	revision Revision
}

// notice notes that a peer has a higher revision in force. n.mu is held.
func (n *Node) notice(msg Message, control netip.AddrPort) {
	if n.settings.Configs == nil {
		return
	}
	own := n.settings.Configs.Revision()
	if msg.Revision.Number == own.Number && msg.Revision.Digest != own.Digest {
		n.counts.conflicts.Add(1)
	}
	if msg.Revision.Number <= max(own.Number, n.newer.revision.Number) {
		return
	}
	n.newer = source{control: control, revision: msg.Revision}
	n.nudge()
}

// startFetch fetches a configuration where a higher one was noticed, and
// returns the number of goroutines that it has started.
func (n *Node) startFetch(ctx context.Context) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.newer == (source{}) || n.fetching {
		return 0
	}
	from := n.newer
	n.newer = source{}
	n.fetching = true
	go func() { n.ends <- n.fetch(ctx, from) }()
	return 1
}

// fetch puts the configuration of a peer in force. After a failure the next
// exchange that shows a higher revision leads to the next try.
func (n *Node) fetch(ctx context.Context, from source) end {
	if err := n.fetchFrom(ctx, from); err != nil {
		n.counts.failedFetches.Add(1)
		n.settings.Log.Debug().Err(err).Uint64("revision", from.revision.Number).Msg("fetch failed")
	}
	n.mu.Lock()
	n.fetching = false
	n.mu.Unlock()
	return end{}
}

func (n *Node) fetchFrom(ctx context.Context, from source) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	configs := n.settings.Configs
	response, err := n.transport.client(from.control).Fetch(ctx, connect.NewRequest(&lhpeerv1.FetchRequest{
		Have: configs.Revision().Number,
		Want: from.revision.Number,
	}))
	if err != nil {
		return lhcode.Wrap(lhcode.PeerUnreachable, err, "fetching a configuration")
	}
	n.counts.fetchesIn.Add(1)
	return configs.Accept(ctx, response.Msg.GetRevision(), response.Msg.GetContent())
}
