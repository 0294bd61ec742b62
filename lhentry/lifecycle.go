package lhentry

import (
	"context"
	"time"
)

// lifecycle runs the tasks of a process and stops them.
type lifecycle struct {
	// start starts the tasks and returns their number. Each task ends when ctx is
	// done and sends its result on results.
	start func(ctx context.Context, results chan<- error) int
	// stop performs a planned stop; it returns early if kill is done.
	stop func(kill context.Context)
	// close closes the sockets on which tasks may block.
	close func()
}

// run runs the tasks until ctx is done and then performs a planned stop. If kill is
// done or a task ends, it stops immediately. It returns the first error after all
// tasks have ended.
func (l lifecycle) run(ctx, kill context.Context) error {
	runCtx, cancel := context.WithCancel(kill)
	defer cancel()
	results := make(chan error)
	running := l.start(runCtx, results)
	var firstErr error
	select {
	case <-ctx.Done():
		l.stop(kill)
	case <-kill.Done():
	case firstErr = <-results:
		running--
	}
	cancel()
	l.close()
	for ; running > 0; running-- {
		if err := <-results; firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// startTasks starts tasks and returns their number. Each sends its result on results.
func startTasks(ctx context.Context, results chan<- error, tasks ...func(context.Context) error) int {
	for _, task := range tasks {
		go func() { results <- task(ctx) }()
	}
	return len(tasks)
}

// every calls f once per interval until ctx is done.
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
