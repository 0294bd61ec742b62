package lhstore

import (
	"context"
	"time"
)

// askPeer asks another VM for changes if that may replace a read of the store, and reports
// whether it does.
func (l *mirrorLoop) askPeer(ctx context.Context) bool {
	missed := !l.missedUpdate.IsZero()
	readAge := l.Distributor.ReadAge()
	asks := readAge > l.Distributor.MaxAge()
	if l.state.revision.IsZero() || !missed && !asks {
		return false
	}
	from := FromReader
	if missed {
		from = FromAny
	}
	answered, recent := l.loadPeerState(ctx, from)
	if recent {
		return true
	}
	if !answered || !asks || time.Since(l.state.asOf) >= readAge {
		return false
	}
	l.nextRead = time.Now().Add(peerRetryDelay)
	return true
}

// loadPeerState obtains the changes that are missing here from another VM, or its
// complete state if nothing is known. It reports whether a VM has answered, and whether the
// state is recent now and lacks no change that is known to exist.
func (l *mirrorLoop) loadPeerState(ctx context.Context, from Source) (answered, recent bool) {
	known, missed := l.state.revision, l.missedUpdate
	u, err := l.Distributor.State(ctx, known, from)
	if err != nil || u.Revision.Compare(later(known, missed)) < 0 || u.After.Compare(known) > 0 {
		l.Log.Debug().Err(err).Stringer("known", known).Stringer("at", u.Revision).Msg("no state available from other VMs")
		return err == nil, false
	}
	if time.Since(l.state.asOf) <= u.Age && missed.IsZero() && u.Revision.Era == known.Era {
		return true, false
	}
	l.Log.Info().Stringer("known", known).Stringer("after", u.After).Stringer("at", u.Revision).Dur("age", u.Age).
		Int("items", len(u.Items)).Msg("state of another VM taken")
	for i := range u.Items {
		u.Items[i].Copy = true
	}
	l.adopt(u)
	return true, !missed.IsZero() || u.Age < time.Duration(maxPeerAge*float64(l.Distributor.MaxAge()))
}

// adopt replaces the known state by what another VM knows, which is at least as new.
func (l *mirrorLoop) adopt(u Update) {
	items := u.Items
	if u.After.IsZero() {
		items = append(items, l.state.deletions(items, u.Revision)...)
		l.state.startHistory(u.Revision)
	}
	l.listed, l.missedUpdate = true, Revision{}
	l.change(u.Revision, u.Age, items)
}

// receive applies an update from another VM. An update of an earlier era holds changes that
// the store has lost.
func (l *mirrorLoop) receive(u Update) {
	known := l.state.revision
	switch {
	case u.Revision.Era < known.Era:
		l.Log.Debug().Stringer("at", u.Revision).Stringer("known", known).Msg("update of an earlier era dropped")
	case u.After.IsZero():
		l.receiveComplete(u)
	case !known.IsZero():
		l.receiveChanges(u)
	}
}

// receiveComplete applies the complete state that another VM has sent unless it is known.
func (l *mirrorLoop) receiveComplete(u Update) {
	known := l.state.revision
	if known.IsZero() || u.Revision.Compare(later(known, l.missedUpdate)) < 0 || u.Revision == known {
		return
	}
	l.Log.Info().Stringer("known", known).Stringer("at", u.Revision).Dur("age", u.Age).
		Int("items", len(u.Items)).Msg("state of another VM received")
	l.adopt(u)
}

// receiveChanges applies changes that another VM has sent. If changes between the revision
// known here and that of the update are not in the update, they are obtained at once.
func (l *mirrorLoop) receiveChanges(u Update) {
	known := l.state.revision
	// A listing hides deletions of keys that are known here from changes after u.After.
	hidden := u.Listed && u.After.Compare(l.state.newest) < 0 && known.Compare(u.Revision) < 0
	if hidden || u.After.Compare(known) > 0 {
		l.Log.Debug().Stringer("after", u.After).Stringer("known", known).Bool("listed", u.Listed).Msg("update missed")
		l.nextRead, l.missedUpdate = time.Now(), later(l.missedUpdate, u.Revision)
		if hidden {
			l.changing.Lock()
			defer l.changing.Unlock()
			l.apply(u.Revision.Era, u.Items)
		}
		return
	}
	if u.Listed {
		l.state.startHistory(u.Revision)
	}
	l.listed = l.listed || u.Revision.Compare(known) > 0
	l.change(later(known, u.Revision), u.Age, u.Items)
}
