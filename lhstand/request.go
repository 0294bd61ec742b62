package lhstand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Request is a unit of work that a caller asks a backend server for.
type Request struct {
	// ID names the request; it holds no white space.
	ID string
	// Bytes is the size of the answer's body.
	Bytes int
	// Lines turns the request into a feed of so many lines, one every Gap. It
	// takes the place of Bytes.
	Lines int
	Gap   time.Duration
}

// Reply is what a backend server says about itself in its answer.
type Reply struct {
	Service string
	Server  string
}

// requestFormat is the line in which a request travels; replyFormat is the line
// before the answer's body.
const (
	requestFormat = "%s %d %d %d\n"
	replyFormat   = "%s %s %s\n"
)

// Do sends the request on a connection and reads the whole answer. It closes
// nothing, so that several requests may follow each other.
func (r Request) Do(c io.ReadWriter) (Reply, error) {
	if err := r.Send(c); err != nil {
		return Reply{}, err
	}
	return r.Receive(bufio.NewReader(c))
}

// Send sends the request.
func (r Request) Send(w io.Writer) error {
	_, err := fmt.Fprintf(w, requestFormat, r.ID, r.Bytes, r.Lines, r.Gap)
	return err
}

// Receive reads the answer and checks each byte of it. It returns Wrong for an
// answer to another request, and Reset for one that ends early.
func (r Request) Receive(from *bufio.Reader) (Reply, error) {
	reply, err := r.ReceiveHead(from)
	if err != nil {
		return reply, err
	}
	for line := range r.Lines {
		if err := r.ReceiveLine(from, line); err != nil {
			return reply, err
		}
	}
	return reply, r.receiveBody(from)
}

// ReceiveHead reads the first line of the answer.
func (r Request) ReceiveHead(from *bufio.Reader) (Reply, error) {
	head, err := from.ReadString('\n')
	if err != nil {
		return Reply{}, early(err)
	}
	var reply Reply
	var id string
	if _, err := fmt.Sscanf(head, replyFormat, &reply.Service, &reply.Server, &id); err != nil {
		return reply, Wrong
	}
	if id != r.ID {
		return reply, Wrong
	}
	return reply, nil
}

// ReceiveLine reads the line with the given number of a feed.
func (r Request) ReceiveLine(from *bufio.Reader, number int) error {
	line, err := from.ReadString('\n')
	if err != nil {
		return early(err)
	}
	if line != r.line(number) {
		return Wrong
	}
	return nil
}

func (r Request) receiveBody(from *bufio.Reader) error {
	if r.Lines > 0 || r.Bytes == 0 {
		return nil
	}
	body := make([]byte, r.Bytes)
	if _, err := io.ReadFull(from, body); err != nil {
		return early(err)
	}
	if string(body) != r.body() {
		return Wrong
	}
	return nil
}

// early returns the outcome of an answer that ended before it was whole.
func early(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return Reset
	}
	return err
}

// parseRequest reads a request from its line.
func parseRequest(line string) (Request, error) {
	var r Request
	_, err := fmt.Sscanf(line, requestFormat, &r.ID, &r.Bytes, &r.Lines, &r.Gap)
	return r, err
}

// body returns the bytes of the answer, which differ between requests.
func (r Request) body() string {
	unit := r.ID + "/"
	return strings.Repeat(unit, r.Bytes/len(unit)+1)[:r.Bytes]
}

// line returns the line with the given number of a feed.
func (r Request) line(number int) string { return fmt.Sprintf("%s#%d\n", r.ID, number) }
