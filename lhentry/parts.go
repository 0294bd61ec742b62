package lhentry

import (
	"context"
	"time"
)

// lifecycle is how a process runs its parts and ends them.
type lifecycle struct {
	// start starts the parts, which end with their context and send their end on
	// ended, and returns their number.
	start func(life context.Context, ended chan<- error) int
	// stop carries out a planned stop, until kill ends.
	stop func(kill context.Context)
	// close closes the sockets that parts may wait at.
	close func()
}

// run runs the parts until ctx ends, and then stops as planned; until kill or one of
// the parts ends, it stops at once. It returns the first error once all have ended.
func (l lifecycle) run(ctx, kill context.Context) error {
	life, end := context.WithCancel(kill)
	defer end()
	ended := make(chan error)
	parts := l.start(life, ended)
	var first error
	select {
	case <-ctx.Done():
		l.stop(kill)
	case <-kill.Done():
	case first = <-ended:
		parts--
	}
	end()
	l.close()
	for ; parts > 0; parts-- {
		if err := <-ended; first == nil {
			first = err
		}
	}
	return first
}

// startParts starts parts and returns their number; each sends its end on ended.
func startParts(ctx context.Context, ended chan<- error, parts ...func(context.Context) error) int {
	for _, part := range parts {
		go func() { ended <- part(ctx) }()
	}
	return len(parts)
}

// every calls f once an interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f()
		}
	}
}
