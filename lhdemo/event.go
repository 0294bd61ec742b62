package lhdemo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Event is a change of the fleet at a given time of an experiment.
type Event struct {
	// At is the time since the start of the load.
	At time.Duration
	// Action is one of the actions in EventSyntax.
	Action string
	// Name is the backend server or VM to change; empty for "start".
	Name string
}

// EventSyntax lists the accepted forms of an event.
const EventSyntax = `"TIME drain SERVER", "TIME restore SERVER", "TIME stop VM", "TIME start"`

// ParseEvent parses an event such as "1s drain service1-2".
func ParseEvent(text string) (Event, error) {
	words := strings.Fields(text)
	usage := lhcode.Newf(lhcode.Usage, "event %q: must have one of the forms %s", text, EventSyntax)
	if len(words) < 2 {
		return Event{}, usage
	}
	at, err := time.ParseDuration(words[0])
	if err != nil || at < 0 {
		return Event{}, usage
	}
	e := Event{At: at, Action: words[1]}
	switch {
	case e.Action == "start" && len(words) == 2:
		return e, nil
	case len(words) == 3 && (e.Action == "drain" || e.Action == "restore" || e.Action == "stop"):
		e.Name = words[2]
		return e, nil
	}
	return Event{}, usage
}

// String returns the event without its time.
func (e Event) String() string { return strings.TrimSpace(e.Action + " " + e.Name) }

// run applies the event to a fleet and waits until it has taken effect.
func (e Event) run(ctx context.Context, f *Fleet) error {
	switch e.Action {
	case "drain":
		return f.Drain(ctx, e.Name)
	case "restore":
		return f.Restore(ctx, e.Name)
	case "stop":
		return f.Stop(ctx, e.Name)
	}
	if _, err := f.StartVM(ctx); err != nil {
		return err
	}
	return f.AwaitServing(ctx)
}

// EventResult is the result of an event.
type EventResult struct {
	Event string `json:"event"`
	// StartMs is the time from the start of the load to that of the event, and
	// DurationMs the duration of the event, both in milliseconds.
	StartMs    int64 `json:"at"`
	DurationMs int64 `json:"ms"`
	// Error is the error of a failed event; empty on success.
	Error string `json:"fault,omitempty"`
}

// runEvents runs events in order, one at a time; their times count from start. It
// stops at the first that fails.
func runEvents(ctx context.Context, f *Fleet, events []Event, start time.Time) ([]EventResult, error) {
	var results []EventResult
	for _, e := range events {
		if !sleepUntil(ctx, start.Add(e.At)) {
			break
		}
		eventStart := time.Now()
		err := e.run(ctx, f)
		r := EventResult{
			Event:      e.String(),
			StartMs:    eventStart.Sub(start).Milliseconds(),
			DurationMs: time.Since(eventStart).Milliseconds(),
		}
		if err != nil {
			r.Error = err.Error()
			return append(results, r), lhcode.Wrap(lhcode.Of(err), err, fmt.Sprintf("run event %q", e))
		}
		results = append(results, r)
	}
	return results, nil
}

// sleepUntil waits for a time and reports whether it came before the end of the
// context.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
