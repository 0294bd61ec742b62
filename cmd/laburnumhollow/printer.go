package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// Output formats.
const (
	formatText = "text"
	formatJSON = "json"
)

// printer writes the results and errors of commands as text or JSON.
type printer struct {
	out    io.Writer
	errOut io.Writer
	// format is formatText or formatJSON once checkFormat has succeeded.
	format string
}

// checkFormat returns an error if the output format is unknown.
func (p *printer) checkFormat() error {
	if p.format != formatText && p.format != formatJSON {
		return lhcode.Newf(lhcode.Usage, "output %q is neither text nor json", p.format)
	}
	return nil
}

// printResult writes value as JSON, or calls text to write it as text. Tabs in that
// text separate columns, which are then aligned.
func (p *printer) printResult(value any, text func(w io.Writer)) error {
	if p.format == formatJSON {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return lhcode.Wrap(lhcode.Internal, encoder.Encode(value), "write the output")
	}
	const padding = 2
	w := tabwriter.NewWriter(p.out, 0, 0, padding, ' ', 0)
	text(w)
	return lhcode.Wrap(lhcode.Internal, w.Flush(), "write the output")
}

// printError writes an error with its result code to standard error. It does nothing if
// err is nil.
func (p *printer) printError(err error) {
	if err == nil {
		return
	}
	var problems lhconf.Problems
	errors.As(err, &problems)
	if p.format == formatJSON {
		report := struct {
			Code     lhcode.Code     `json:"code"`
			Text     string          `json:"text"`
			Problems lhconf.Problems `json:"problems,omitempty"`
		}{lhcode.Of(err), err.Error(), problems}
		// If standard error can't be written, the exit code still reports the failure.
		_ = json.NewEncoder(p.errOut).Encode(report)
		return
	}
	for _, problem := range problems {
		fmt.Fprintln(p.errOut, problem)
	}
	if len(problems) > 0 {
		fmt.Fprintf(p.errOut, "laburnumhollow: [%d] problems found: %d\n", lhcode.Of(err), len(problems))
		return
	}
	fmt.Fprintf(p.errOut, "laburnumhollow: %v\n", err)
}
