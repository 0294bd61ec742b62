package lhdemo

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// maxFeedLines is more lines than a feed can send during a demo or test.
const maxFeedLines = 1 << 20

// flow is a flow that stays open while the fleet changes.
type flow struct {
	id   string
	conn *lhstand.Conn
	// reply identifies the service and server that answered the first request.
	reply lhstand.Reply
}

// openFlow opens a flow from an unused caller address.
func openFlow(ctx context.Context, f *Fleet, service int, id string) (*flow, error) {
	conn, err := f.fabric.Dial(ctx, f.fabric.NextCaller(), serviceAt(service))
	if err != nil {
		return nil, err
	}
	return &flow{id: id, conn: conn}, nil
}

// sendRequest sends a request and checks that the response is complete, comes from
// the right service and, after the first request, from the same server as before.
func (f *flow) sendRequest(number int) error {
	request := lhstand.Request{ID: fmt.Sprintf("%s-%d", f.id, number), Bytes: heldAnswerBytes}
	reply, err := request.Do(f.conn)
	if err != nil {
		return err
	}
	if number > 0 && reply != f.reply {
		return lhstand.Mismatched
	}
	f.reply = reply
	return nil
}

// heldAnswerBytes is the size of the response to each request of a demo.
const heldAnswerBytes = 2000

// idleFlow sends a request, stays idle and sends another one.
type idleFlow struct{ *flow }

func openIdle(ctx context.Context, f *Fleet, service int, id string) (idleFlow, error) {
	opened, err := openFlow(ctx, f, service, id)
	if err != nil {
		return idleFlow{}, err
	}
	return idleFlow{opened}, opened.sendRequest(0)
}

// finish sends the last request and closes the flow.
func (f idleFlow) finish() error {
	if err := f.sendRequest(1); err != nil {
		return err
	}
	if err := f.conn.Close(); err != nil {
		return err
	}
	if o := f.conn.Wait(); o != lhstand.Completed {
		return o
	}
	return nil
}

// feedFlow has its backend server push lines until it is finished.
type feedFlow struct {
	*flow
	// lines counts the lines received complete and in order.
	lines atomic.Int64
	// closing is set before finish aborts the connection itself.
	closing  atomic.Bool
	readDone chan error
}

func openFeed(ctx context.Context, f *Fleet, service int, id string, gap time.Duration) (*feedFlow, error) {
	opened, err := openFlow(ctx, f, service, id)
	if err != nil {
		return nil, err
	}
	request := lhstand.Request{ID: id, Lines: maxFeedLines, Interval: gap}
	if err := request.Send(opened.conn); err != nil {
		return nil, err
	}
	from := bufio.NewReader(opened.conn)
	if opened.reply, err = request.ReceiveHeader(from); err != nil {
		return nil, err
	}
	feed := &feedFlow{flow: opened, readDone: make(chan error, 1)}
	go func() { feed.readDone <- feed.readLines(request, from) }()
	return feed, nil
}

// readLines reads lines until one is missing or wrong, or finish ends the feed.
func (f *feedFlow) readLines(request lhstand.Request, from *bufio.Reader) error {
	for n := range request.Lines {
		err := request.ReceiveLine(from, n)
		if f.closing.Load() && errors.Is(err, lhstand.Canceled) {
			return nil
		}
		if err != nil {
			return err
		}
		f.lines.Add(1)
	}
	return nil
}

// finish waits for further lines and aborts the connection. It returns the error
// that broke the feed, or nil.
func (f *feedFlow) finish(ctx context.Context) error {
	wantLines := f.lines.Load() + feedProgressLines
	_ = await(ctx, "lines of "+f.id, func() bool { return f.lines.Load() >= wantLines || len(f.readDone) > 0 })
	if f.lines.Load() < wantLines && len(f.readDone) == 0 {
		f.conn.Abort()
		<-f.readDone
		return lhstand.TimedOut
	}
	f.closing.Store(true)
	f.conn.Abort()
	return <-f.readDone
}

// feedProgressLines is how many further lines prove that a feed still runs.
const feedProgressLines = 3
