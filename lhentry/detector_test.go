package lhentry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFailureDetector(t *testing.T) {
	cases := []struct {
		name                     string
		synSent, packetReceived  time.Duration
		synAnswered, unreachable bool
		dead                     bool
	}{
		{name: "nothing sent"},
		{name: "unanswered for longer than the timeout", synSent: time.Second, dead: true},
		{name: "unanswered, but packets of open flows received", synSent: time.Second, packetReceived: time.Hour - time.Second},
		{name: "answered", synSent: time.Second, synAnswered: true},
		{name: "unanswered for a short time", synSent: time.Hour - time.Second},
		{name: "in an unreachable data centre", synSent: time.Second, unreachable: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var d failureDetector
			d.packetReceived(c.packetReceived, 7)
			if c.synSent != 0 {
				d.synSent(c.synSent, 7)
			}
			if c.synAnswered {
				d.synAnswered(7)
			}
			d.update(time.Hour, func(uint32) (bool, bool) { return true, c.unreachable })
			assert.Equal(t, d.isDead(7), c.dead)
			d.update(time.Hour, func(uint32) (bool, bool) { return false, c.unreachable })
			assert.Assert(t, !d.isDead(7))
		})
	}
}
