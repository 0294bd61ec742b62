package lhentry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSilence(t *testing.T) {
	cases := []struct {
		name          string
		asked, heard  time.Duration
		answered, cut bool
		dead          bool
	}{
		{name: "nothing sent"},
		{name: "unanswered for long", asked: time.Second, dead: true},
		{name: "unanswered, but open flows go on", asked: time.Second, heard: time.Hour - time.Second},
		{name: "answered", asked: time.Second, answered: true},
		{name: "unanswered a short time", asked: time.Hour - time.Second},
		{name: "behind a cut", asked: time.Second, cut: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s silence
			s.heard(c.heard, 7)
			if c.asked != 0 {
				s.asked(c.asked, 7)
			}
			if c.answered {
				s.answered(7)
			}
			s.refresh(time.Hour, func(uint32) (bool, bool) { return true, c.cut })
			assert.Equal(t, s.isDead(7), c.dead)
			s.refresh(time.Hour, func(uint32) (bool, bool) { return false, c.cut })
			assert.Assert(t, !s.isDead(7))
		})
	}
}
