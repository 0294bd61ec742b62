package lhwork_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

// vmLifetime is when a VM is announced, begins to own flows, and leaves.
type vmLifetime struct{ announced, owns, gone time.Duration }

// TestFractionsSumToAtMostOne adds up the fractions of all owners while VMs join, leave
// and are killed. Each VM learns of each change after a random delay within
// MemberRetention, and wrongly misses others for less than that.
func TestFractionsSumToAtMostOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const end, step = 120 * time.Second, 500 * time.Millisecond
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		within := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
		vms := make([]vmLifetime, rapid.IntRange(1, 12).Draw(t, "vms"))
		early := make([]bool, len(vms))
		for i := range vms {
			v := &vms[i]
			v.gone = within(2 * end)
			if i > 0 && random.IntN(2) == 0 {
				v.announced = within(end)
				v.owns = v.announced + lhwork.MemberRetention
				if early[i] = random.IntN(4) == 0; early[i] {
					v.owns = v.announced + within(lhwork.MemberRetention)
				}
				v.gone = v.owns + within(end)
			}
		}
		type observations struct{ joined, gone, missed, found time.Duration }
		observed := make([][]observations, len(vms))
		for i := range vms {
			for j := range vms {
				missed := within(end)
				n := observations{
					joined: vms[j].announced + within(lhwork.MemberRetention),
					gone:   vms[j].gone + within(lhwork.MemberRetention),
					missed: missed,
					found:  missed + within(lhwork.MemberRetention),
				}
				if i == j || vms[j].announced == 0 {
					n.joined = vms[j].announced
				}
				observed[i] = append(observed[i], n)
			}
		}
		fractions := make([]lhwork.LimitFraction, len(vms))
		for now := time.Duration(0); now < end; now += step {
			sum, rounded, owners := 0.0, 0, 0
			const limit = 100
			for i, v := range vms {
				if now < v.announced || now >= v.gone {
					continue
				}
				var members []lhflow.Member
				for j, n := range observed[i] {
					missing := now >= n.missed && now < n.found && now >= vms[j].owns+step
					if now >= n.joined && (j == i || now < n.gone && !missing) {
						members = append(members, lhflow.Member{ID: lhflow.MemberID(j + 1)})
					}
				}
				fractions[i].Update(now, members)
				if now >= v.owns && !early[i] {
					sum += fractions[i].Value(now)
					rounded += int(math.Ceil(limit*fractions[i].Value(now) - 1e-9))
					owners++
				}
			}
			assert.Assert(t, sum <= 1+1e-9, "fractions add up to %v at %v", sum, now)
			assert.Assert(t, owners == 0 || rounded <= limit+owners-1, "rounded limits add up to %d", rounded)
		}
	})
}

func TestFractionKeepsMissingMembers(t *testing.T) {
	var p lhwork.LimitFraction
	assert.Equal(t, p.Value(0), 1.0)
	all := testMembers(8)
	p.Update(10*time.Second, all[:4])
	p.Update(20*time.Second, all)
	assert.Equal(t, p.Value(20*time.Second), 1.0/8)
	p.Update(30*time.Second, all[:2])
	p.Update(31*time.Second, all[:4])
	assert.Equal(t, p.Value(30*time.Second+lhwork.MemberRetention), 1.0/8)
	assert.Equal(t, p.Value(31*time.Second+lhwork.MemberRetention), 1.0/4)
}

func TestRetryBudgetIsOneTenth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b lhwork.RetryBudget
		first, retries := 0, 0
		for range rapid.IntRange(0, 3000).Draw(t, "events") {
			if rapid.IntRange(0, 3).Draw(t, "event") > 0 {
				b.Deposit()
				first++
			} else if b.Withdraw() {
				retries++
			}
			assert.Assert(t, 10*retries <= first, "%d retries for %d first attempts", retries, first)
		}
	})
}
