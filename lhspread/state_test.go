package lhspread

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

// TestState checks that the newest state is returned if some contacts have an older
// state, no state or are down.
func TestState(t *testing.T) {
	stateAt := func(revision uint64) func(uint64) lhstore.Update {
		return func(uint64) lhstore.Update {
			n := lhstore.Update{Revision: revision, Age: 3 * time.Second}
			for i := range revision {
				n.Items = append(n.Items, lhstore.Item{Key: fmt.Sprint("key-", i), Data: []byte("x"), Revision: i + 1})
			}
			return n
		}
	}
	down := start(t, "down", "dc-0")
	assert.NilError(t, down.server.Close())
	old, newest, empty := startWith(t, "old", "dc-0", nil, stateAt(3)), startWith(t, "newest", "dc-1", nil, stateAt(5)), startWith(t, "empty", "dc-0", nil, stateAt(0))
	cases := []struct {
		name     string
		contacts []*testNode
		want     uint64
	}{
		{"none", nil, 0},
		{"down", []*testNode{down}, 0},
		{"no state", []*testNode{empty, down}, 0},
		{"one down", []*testNode{down, old}, 3},
		{"newest", []*testNode{old, newest, empty}, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var contacts []netip.AddrPort
			for _, r := range c.contacts {
				contacts = append(contacts, r.member.Control)
			}
			n := NewNode(NodeSettings{Self: "new", Contacts: contacts, Log: zerolog.Nop()})
			state, err := n.State(context.Background(), 0, lhstore.FromAny)
			assert.Equal(t, state.Revision, c.want)
			assert.Equal(t, len(state.Items), int(c.want))
			if c.want == 0 {
				assert.Equal(t, lhcode.Of(err), lhcode.PeerUnreachable)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, state.Age >= 3*time.Second)
			assert.DeepEqual(t, state.Items, stateAt(c.want)(0).Items)
		})
	}
}
