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

// TestState asks contacts of which some know less, nothing, or are gone.
func TestState(t *testing.T) {
	at := func(revision uint64) func() lhstore.News {
		return func() lhstore.News {
			n := lhstore.News{Revision: revision, Age: 3 * time.Second}
			for i := range revision {
				n.Items = append(n.Items, lhstore.Item{Key: fmt.Sprint("key-", i), Data: []byte("x"), Revision: i + 1})
			}
			return n
		}
	}
	gone := start(t, "gone", "dc-0")
	assert.NilError(t, gone.server.Close())
	old, newest, empty := startWith(t, "old", "dc-0", nil, at(3)), startWith(t, "newest", "dc-1", nil, at(5)), startWith(t, "empty", "dc-0", nil, at(0))
	cases := []struct {
		name     string
		contacts []*running
		want     uint64
	}{
		{"none", nil, 0},
		{"gone", []*running{gone}, 0},
		{"knows nothing", []*running{empty, gone}, 0},
		{"one is gone", []*running{gone, old}, 3},
		{"the newest", []*running{old, newest, empty}, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var contacts []netip.AddrPort
			for _, r := range c.contacts {
				contacts = append(contacts, r.member.Control)
			}
			n := NewNode("new", contacts, nil, zerolog.Nop())
			news, err := n.State(context.Background())
			assert.Equal(t, news.Revision, c.want)
			assert.Equal(t, len(news.Items), int(c.want))
			if c.want == 0 {
				assert.Equal(t, lhcode.Of(err), lhcode.PeerUnreachable)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, news.Age >= 3*time.Second)
			assert.DeepEqual(t, news.Items, at(c.want)().Items)
		})
	}
}
