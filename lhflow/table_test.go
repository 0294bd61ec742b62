package lhflow

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestShardAgainstMap compares a shard with Go's map over random puts, removals and
// look-ups. It uses few IDs, so that probe sequences collide and removals shift
// records often.
func TestShardAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s shard
		model := map[ID]entry{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			// The upper bits of Lo select the home slot, so there are few of them.
			id := ID{Hi: uint64(rapid.IntRange(0, 5).Draw(t, "hi")), Lo: uint64(rapid.IntRange(0, 15).Draw(t, "lo")) << 54}
			_, had := model[id]
			if rapid.Bool().Draw(t, "remove") {
				assert.Equal(t, s.remove(id), had)
				delete(model, id)
				continue
			}
			en := entry{server: rapid.Uint32Min(1).Draw(t, "server")}
			assert.Equal(t, s.put(id, en), !had)
			model[id] = en
		}
		assert.Equal(t, s.count, len(model))
		for id, want := range model {
			got, ok := s.get(id)
			assert.Assert(t, ok && got == want)
		}
		seen := 0
		s.each(func(id ID, en *entry) {
			assert.Equal(t, model[id], *en)
			seen++
		})
		assert.Equal(t, seen, len(model))
	})
}
