package lhdemo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Event is a change of the fleet at a time of an experiment.
type Event struct {
	// At is the time since the first flow may be opened.
	At time.Duration
	// Change is one of the words that EventForms lists.
	Change string
	// Name is the server or VM that is changed; empty for "start".
	Name string
}

// EventForms lists the forms of an event.
const EventForms = `"TIME drain SERVER", "TIME restore SERVER", "TIME stop VM", "TIME start"`

// ParseEvent reads an event such as "1s drain service1-2".
func ParseEvent(text string) (Event, error) {
	words := strings.Fields(text)
	usage := lhcode.Newf(lhcode.Usage, "event %q has none of the forms %s", text, EventForms)
	if len(words) < 2 {
		return Event{}, usage
	}
	at, err := time.ParseDuration(words[0])
	if err != nil || at < 0 {
		return Event{}, usage
	}
	e := Event{At: at, Change: words[1]}
	switch {
	case e.Change == "start" && len(words) == 2:
		return e, nil
	case len(words) == 3 && (e.Change == "drain" || e.Change == "restore" || e.Change == "stop"):
		e.Name = words[2]
		return e, nil
	}
	return Event{}, usage
}

// String returns the event without its time.
func (e Event) String() string { return strings.TrimSpace(e.Change + " " + e.Name) }

// run makes the change.
func (e Event) run(ctx context.Context, f *Fleet) error {
	switch e.Change {
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

// EventResult is an event that was carried out.
type EventResult struct {
	Event string `json:"event"`
	// At is when it began and Milliseconds what it took; both in milliseconds.
	At           int64 `json:"at"`
	Milliseconds int64 `json:"ms"`
	// Fault says why it failed; empty where it did not.
	Fault string `json:"fault,omitempty"`
}

// runEvents carries out events in their order, one after the other, since start.
func runEvents(ctx context.Context, f *Fleet, events []Event, start time.Time) ([]EventResult, error) {
	var results []EventResult
	for _, e := range events {
		if !sleepUntil(ctx, start.Add(e.At)) {
			break
		}
		eventStart := time.Now()
		err := e.run(ctx, f)
		r := EventResult{
			Event:        e.String(),
			At:           eventStart.Sub(start).Milliseconds(),
			Milliseconds: time.Since(eventStart).Milliseconds(),
		}
		if err != nil {
			r.Fault = err.Error()
			return append(results, r), lhcode.Wrap(lhcode.Of(err), err, fmt.Sprintf("carry out %q", e))
		}
		results = append(results, r)
	}
	return results, nil
}

// sleepUntil waits for a time and reports false where the context ended before.
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
