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

// The forms of output.
const (
	formatText = "text"
	formatJSON = "json"
)

// printer writes what commands have to say, as text or as JSON.
type printer struct {
	out    io.Writer
	errors io.Writer
	// format is formatText or formatJSON once checkFormat has passed.
	format string
}

// checkFormat refuses a form of output that is not known.
func (p *printer) checkFormat() error {
	if p.format != formatText && p.format != formatJSON {
		return lhcode.Newf(lhcode.Usage, "output %q is neither text nor json", p.format)
	}
	return nil
}

// result writes value as JSON, or lets text write it as aligned columns, which it
// parts by tabs.
func (p *printer) result(value any, text func(w io.Writer)) error {
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

// fault writes an error with its result code to the errors' writer. A nil error
// writes nothing.
func (p *printer) fault(err error) {
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
		// Where errors can't be written, the exit code still tells.
		_ = json.NewEncoder(p.errors).Encode(report)
		return
	}
	for _, problem := range problems {
		fmt.Fprintln(p.errors, problem)
	}
	if len(problems) > 0 {
		fmt.Fprintf(p.errors, "laburnumhollow: [%d] problems found: %d\n", lhcode.Of(err), len(problems))
		return
	}
	fmt.Fprintf(p.errors, "laburnumhollow: %v\n", err)
}
