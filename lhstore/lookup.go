package lhstore

import (
	"context"
	"fmt"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Ticket names a try of a change, so that its outcome can be asked for later.
type Ticket struct {
	// ID is the change's.
	ID string
	// Base and Turn are of the head that the change was to replace.
	Base Position
	Turn uint64
	// etag is of that head; empty in a ticket that was parsed.
	etag string
}

// String returns the form of the ticket that ParseTicket reads.
func (t Ticket) String() string { return fmt.Sprintf("%v-%d-%s", t.Base, t.Turn, t.ID) }

// differs reports whether h is known to be of another write than the ticket's head.
func (t Ticket) differs(h head) bool { return t.etag != "" && t.etag != h.etag }

// ParseTicket returns the ticket that was printed as text.
func ParseTicket(text string) (Ticket, error) {
	var t Ticket
	parts := strings.SplitN(text, "-", 4)
	if len(parts) < 4 {
		return t, lhcode.Newf(lhcode.Usage, "%q is not a ticket", text)
	}
	t.ID = parts[3]
	_, err := fmt.Sscanf(strings.Join(parts[:3], " "), "%d %x %d", &t.Base.Revision, &t.Base.Digest, &t.Turn)
	return t, lhcode.Wrap(lhcode.Usage, err, "read ticket "+text)
}

// Lookup returns the position at which a change entered. The error has
// lhcode.NotFound when it did not and never will, and lhcode.OutcomeUnknown when
// that can't be told at present.
func (a *Applier) Lookup(ctx context.Context, ticket Ticket) (Position, error) {
	for range maxAttempts {
		now, err := readHead(ctx, a.store)
		if err != nil {
			return Position{}, unknown(ticket, err)
		}
		at, err := a.find(ctx, now, ticket)
		if lhcode.Of(err) == lhcode.PreconditionFailed {
			continue
		}
		if err != nil || at.Revision > 0 {
			return at, unknown(ticket, err)
		}
		again, err := a.exclude(ctx, now, ticket)
		if !again {
			return Position{}, err
		}
	}
	return Position{}, unknown(ticket, lhcode.New(lhcode.StoreUnavailable, "the head moved each time"))
}

// find walks the chain from the head back to the ticket's base. It returns the
// zero Position when the change is not on it.
func (a *Applier) find(ctx context.Context, now head, ticket Ticket) (Position, error) {
	last := now.Position
	for l, err := range chain(ctx, a.store, now.Position) {
		if l.At.Revision <= ticket.Base.Revision {
			break
		}
		if err != nil {
			return Position{}, err
		}
		if l.Manifest.Apply == ticket.ID {
			return l.At, nil
		}
		last = l.Manifest.before()
	}
	// A store that returned to an older state says nothing on what was accepted.
	if last != ticket.Base || now.Turn < ticket.Turn || now.Turn == ticket.Turn && ticket.differs(now) {
		return Position{}, lhcode.New(lhcode.RevisionLower, "the store's chain doesn't hold the change's base")
	}
	return Position{}, a.guard(ctx, now.Position)
}

// exclude makes sure that a change that is not on the chain can't enter any
// more: a delayed swap of a head that has changed since fails. It reports again
// when the head moved meanwhile.
func (a *Applier) exclude(ctx context.Context, now head, ticket Ticket) (again bool, err error) {
	if now.Turn == ticket.Turn {
		err = swapHead(ctx, a.store, now, now)
	}
	switch lhcode.Of(err) {
	case lhcode.OK:
		return false, lhcode.Newf(lhcode.NotFound, "change %s is not in force", ticket.ID)
	case lhcode.PreconditionFailed:
		return true, nil
	}
	return false, unknown(ticket, err)
}

// unknown returns the error of a lookup that failed with err; nil for nil.
func unknown(ticket Ticket, err error) error {
	return lhcode.Wrap(lhcode.OutcomeUnknown, err, "not known whether done; ask again with ticket "+ticket.String())
}
