package lhstore

import (
	"context"
	"fmt"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Ticket identifies an attempt at a change, so that its outcome can be looked up later.
type Ticket struct {
	// ID is the ID of the change.
	ID string
	// Base and Generation are those of the head that the attempt was to replace.
	Base       Position
	Generation uint64
	// etag is the ETag of that head; empty in a parsed ticket.
	etag string
}

// String returns the ticket in the form that ParseTicket accepts.
func (t Ticket) String() string { return fmt.Sprintf("%v-%d-%s", t.Base, t.Generation, t.ID) }

// differsFrom reports whether h is known to come from a write other than that of the
// ticket's head.
func (t Ticket) differsFrom(h head) bool { return t.etag != "" && t.etag != h.etag }

// ParseTicket parses the output of Ticket.String.
func ParseTicket(text string) (Ticket, error) {
	var t Ticket
	parts := strings.SplitN(text, "-", 4)
	if len(parts) < 4 {
		return t, lhcode.Newf(lhcode.Usage, "%q is not a ticket", text)
	}
	t.ID = parts[3]
	_, err := fmt.Sscanf(strings.Join(parts[:3], " "), "%d %x %d", &t.Base.Revision, &t.Base.Digest, &t.Generation)
	return t, lhcode.Wrap(lhcode.Usage, err, "parse ticket "+text)
}

// Lookup returns the position of the revision that contains a change. The error has
// lhcode.NotFound if the change was not accepted and can't be any more, and
// lhcode.OutcomeUnknown if the outcome can't be determined at present.
func (a *Applier) Lookup(ctx context.Context, ticket Ticket) (Position, error) {
	for range maxAttempts {
		now, err := readHead(ctx, a.store)
		if err != nil {
			return Position{}, outcomeUnknown(ticket, err)
		}
		at, err := a.findChange(ctx, now, ticket)
		if lhcode.Of(err) == lhcode.PreconditionFailed {
			continue
		}
		if err != nil || at.Revision > 0 {
			return at, outcomeUnknown(ticket, err)
		}
		retry, err := a.invalidate(ctx, now, ticket)
		if !retry {
			return Position{}, err
		}
	}
	return Position{}, outcomeUnknown(ticket, lhcode.New(lhcode.StoreUnavailable, "the head changed during each attempt"))
}

// findChange searches the chain from the head back to the ticket's base. It returns
// the zero Position if the change is not on the chain.
func (a *Applier) findChange(ctx context.Context, now head, ticket Ticket) (Position, error) {
	last := now.Position
	for l, err := range chain(ctx, a.store, now.Position) {
		if l.At.Revision <= ticket.Base.Revision {
			break
		}
		if err != nil {
			return Position{}, err
		}
		if l.Manifest.ChangeID == ticket.ID {
			return l.At, nil
		}
		last = l.Manifest.parent()
	}
	// A store that was rolled back can't tell what was accepted.
	if last != ticket.Base || now.Generation < ticket.Generation || now.Generation == ticket.Generation && ticket.differsFrom(now) {
		return Position{}, lhcode.New(lhcode.RevisionLower, "the chain in the store doesn't contain the base of the change")
	}
	return Position{}, a.checkNotStale(ctx, now.Position)
}

// invalidate makes sure that a change that is not on the chain can't be accepted any
// more. A delayed swap fails once the head has been written since, so invalidate
// rewrites the head if it is still the one that the change was to replace. It reports
// retry if the head has changed meanwhile.
func (a *Applier) invalidate(ctx context.Context, now head, ticket Ticket) (retry bool, err error) {
	if now.Generation == ticket.Generation {
		err = swapHead(ctx, a.store, now, now)
	}
	switch lhcode.Of(err) {
	case lhcode.OK:
		return false, lhcode.Newf(lhcode.NotFound, "change %s was not accepted", ticket.ID)
	case lhcode.PreconditionFailed:
		return true, nil
	}
	return false, outcomeUnknown(ticket, err)
}

// outcomeUnknown wraps the error of a failed lookup; it returns nil if err is nil.
func outcomeUnknown(ticket Ticket, err error) error {
	return lhcode.Wrap(lhcode.OutcomeUnknown, err, "outcome unknown; look it up with ticket "+ticket.String())
}
