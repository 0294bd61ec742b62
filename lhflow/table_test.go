package lhflow

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestShardAgainstMap holds a shard against Go's map over random puts, removals
// and look-ups of few IDs, so that slots collide and gaps close often.
func TestShardAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s shard
		naive := map[ID]entry{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			// Few homes: the upper bits of Lo decide.
			id := ID{Hi: uint64(rapid.IntRange(0, 5).Draw(t, "hi")), Lo: uint64(rapid.IntRange(0, 15).Draw(t, "lo")) << 54}
			_, had := naive[id]
			if rapid.Bool().Draw(t, "remove") {
				assert.Equal(t, s.remove(id), had)
				delete(naive, id)
				continue
			}
			en := entry{server: rapid.Uint32Min(1).Draw(t, "server")}
			assert.Equal(t, s.put(id, en), !had)
			naive[id] = en
		}
		assert.Equal(t, s.count, len(naive))
		for id, want := range naive {
			got, ok := s.get(id)
			assert.Assert(t, ok && got == want)
		}
		seen := 0
		s.each(func(id ID, en *entry) {
			assert.Equal(t, naive[id], *en)
			seen++
		})
		assert.Equal(t, seen, len(naive))
	})
}
