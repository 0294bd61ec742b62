package lhpeer

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhpeer/lhpeerv1"
)

// fetchTimeout is the timeout for fetching a configuration.
const fetchTimeout = 3 * time.Second

// source is a peer and the revision that it has in force.
type source struct {
	control  netip.AddrPort
	revision Revision
}

// noteRevision records that a peer has a higher revision in force. The caller holds
// n.mu.
func (n *Node) noteRevision(msg Message, control netip.AddrPort) {
	if n.settings.Configs == nil {
		return
	}
	own := n.settings.Configs.Revision()
	if msg.Revision.Number == own.Number && msg.Revision.Digest != own.Digest {
		n.counts.conflicts.Add(1)
	}
	if msg.Revision.Number <= max(own.Number, n.newerSource.revision.Number) {
		return
	}
	n.newerSource = source{control: control, revision: msg.Revision}
	n.wakeLoop()
}

// startFetch starts to fetch a higher revision if one is known. It returns the
// number of goroutines that it started.
func (n *Node) startFetch(ctx context.Context) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.newerSource == (source{}) || n.fetching {
		return 0
	}
	from := n.newerSource
	n.newerSource = source{}
	n.fetching = true
	go func() { n.results <- n.fetch(ctx, from) }()
	return 1
}

// fetch fetches the configuration of a peer and puts it in force. After a failure,
// the next exchange with a higher revision triggers another attempt.
func (n *Node) fetch(ctx context.Context, from source) taskResult {
	if err := n.fetchFrom(ctx, from); err != nil {
		n.counts.failedFetches.Add(1)
		n.settings.Log.Debug().Err(err).Uint64("revision", from.revision.Number).Msg("configuration fetch failed")
	}
	n.mu.Lock()
	n.fetching = false
	n.mu.Unlock()
	return taskResult{}
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
		return lhcode.Wrap(lhcode.PeerUnreachable, err, "fetching a configuration from a peer")
	}
	n.counts.fetchesIn.Add(1)
	return configs.Accept(ctx, response.Msg.GetRevision(), response.Msg.GetContent())
}
