package lhstand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Request is a request from a caller to a backend server.
type Request struct {
	// ID identifies the request. It contains no white space.
	ID string
	// Bytes is the size of the response body.
	Bytes int
	// Lines, if positive, requests a feed of that many lines, one every Interval,
	// instead of a body.
	Lines    int
	Interval time.Duration
}

// Reply is the header of a response: it identifies the backend server.
type Reply struct {
	Service string
	Server  string
}

// requestFormat is the format of a request line; replyFormat is the format of the
// header line of a response.
const (
	requestFormat = "%s %d %d %d\n"
	replyFormat   = "%s %s %s\n"
)

// Do sends the request on a connection and reads the complete response. It leaves the
// connection open for further requests.
func (r Request) Do(c io.ReadWriter) (Reply, error) {
	if err := r.Send(c); err != nil {
		return Reply{}, err
	}
	return r.Receive(bufio.NewReader(c))
}

// Send sends the request.
func (r Request) Send(w io.Writer) error {
	_, err := fmt.Fprintf(w, requestFormat, r.ID, r.Bytes, r.Lines, r.Interval)
	return err
}

// Receive reads the response and verifies every byte. It returns Mismatched for a
// response to another request, and Reset for a truncated one.
func (r Request) Receive(from *bufio.Reader) (Reply, error) {
	reply, err := r.ReceiveHeader(from)
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

// ReceiveHeader reads the header line of the response.
func (r Request) ReceiveHeader(from *bufio.Reader) (Reply, error) {
	head, err := from.ReadString('\n')
	if err != nil {
		return Reply{}, readOutcome(err)
	}
	var reply Reply
	var id string
	if _, err := fmt.Sscanf(head, replyFormat, &reply.Service, &reply.Server, &id); err != nil {
		return reply, Mismatched
	}
	if id != r.ID {
		return reply, Mismatched
	}
	return reply, nil
}

// ReceiveLine reads the line with the given number of a feed.
func (r Request) ReceiveLine(from *bufio.Reader, number int) error {
	line, err := from.ReadString('\n')
	if err != nil {
		return readOutcome(err)
	}
	if line != r.feedLine(number) {
		return Mismatched
	}
	return nil
}

func (r Request) receiveBody(from *bufio.Reader) error {
	if r.Lines > 0 || r.Bytes == 0 {
		return nil
	}
	body := make([]byte, r.Bytes)
	if _, err := io.ReadFull(from, body); err != nil {
		return readOutcome(err)
	}
	if string(body) != r.body() {
		return Mismatched
	}
	return nil
}

// readOutcome converts the read error of a truncated response to Reset and returns
// other errors unchanged.
func readOutcome(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return Reset
	}
	return err
}

// parseRequest parses a request line.
func parseRequest(line string) (Request, error) {
	var r Request
	_, err := fmt.Sscanf(line, requestFormat, &r.ID, &r.Bytes, &r.Lines, &r.Interval)
	return r, err
}

// body returns the response body, which differs between request IDs.
func (r Request) body() string {
	unit := r.ID + "/"
	return strings.Repeat(unit, r.Bytes/len(unit)+1)[:r.Bytes]
}

// feedLine returns the line with the given number of a feed.
func (r Request) feedLine(number int) string { return fmt.Sprintf("%s#%d\n", r.ID, number) }
