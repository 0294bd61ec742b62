package lhcode

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func TestOf(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want Code
	}{
		{"nil", nil, OK},
		{"plain", errors.New("x"), Internal},
		{"coded", New(Conflict, "x"), Conflict},
		{"wrapped", Wrap(LeaseLost, New(Conflict, "x"), "y"), LeaseLost},
		{"wrapped nil", Wrap(LeaseLost, nil, "y"), OK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Of(c.err), c.want)
		})
	}
}
