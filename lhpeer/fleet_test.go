package lhpeer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// tick is the simulated interval between two ticks of a membership.
const tick = 50 * time.Millisecond

// vm is one membership of a fleet. The simulation calls it directly, without a
// Node.
type vm struct {
	*Membership
	name, dataCentre string
	control          netip.AddrPort
	// down simulates a killed process, frozen a suspended one.
	down, frozen bool
	// handOverBlocked keeps the VM from handing over.
	handOverBlocked bool
	// rejoined is set once the VM has rejoined after the group excluded it.
	rejoined bool
	// sent counts messages, both requests and replies, and bytes their encoded
	// size.
	sent, bytes uint64
	// activeAt is when the VM last became active; 0 before.
	activeAt time.Duration
}

// fleet runs memberships in simulated time and delivers their messages.
type fleet struct {
	t   assert.TestingT
	rng *rand.Rand
	now time.Duration
	vms []*vm
	// loss is the fraction of messages lost.
	loss float64
	// partitioned reports whether a network partition separates two VMs; nil if there is
	// none.
	partitioned func(a, b *vm) bool
	// timeouts holds the unanswered requests that will time out.
	timeouts []requestTimeout
	// onTick is called with each VM after its tick and before it sends; may be nil.
	onTick func(v *vm)
}

type requestTimeout struct {
	at      time.Duration
	from    *vm
	member  *Membership
	request Request
}

func newFleet(t assert.TestingT, seed uint64) *fleet {
	return &fleet{t: t, rng: rand.New(rand.NewPCG(seed, seed))}
}

// add starts a VM that has the first VMs of the fleet as contacts.
func (f *fleet) add(dataCentre string, contacts int) *vm {
	number := len(f.vms)
	ip := netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)})
	v := &vm{
		name:       fmt.Sprintf("entry-%d", number),
		dataCentre: dataCentre,
		control:    netip.AddrPortFrom(ip, 7000),
	}
	f.vms = append(f.vms, v)
	f.start(v, contacts)
	return v
}

// start starts or restarts a VM's process.
func (f *fleet) start(v *vm, contacts int) {
	var known []netip.AddrPort
	for _, w := range f.vms[:min(contacts, len(f.vms))] {
		known = append(known, w.control)
	}
	var after lhflow.MemberID
	if v.Membership != nil {
		after = v.Self().ID
	}
	self := lhflow.Member{
		ID:         NewMemberID(time.UnixMilli(1_700_000_000_000).Add(f.now), after, f.rng),
		Name:       v.name,
		DataCentre: v.dataCentre,
		Data:       netip.AddrPortFrom(v.control.Addr(), 6081),
		Control:    v.control,
	}
	rng := rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64()))
	v.Membership = Join(f.now, self, known, Timing{}, rng)
	v.down = false
	v.frozen = false
	v.activeAt = 0
}

// group starts VMs in succession and waits until all are active.
func (f *fleet) group(count int, dataCentres ...string) {
	for i := range count {
		f.add(dataCentres[i%len(dataCentres)], i)
		f.run(tick)
	}
	f.until(time.Minute+time.Duration(count)*time.Second, "all active", func() bool { return f.allActive(count) })
}

// run advances the simulated time.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// until advances the simulated time until a condition holds, and returns the time
// taken.
func (f *fleet) until(limit time.Duration, what string, holds func() bool) time.Duration {
	started := f.now
	for !holds() {
		if f.now-started >= limit {
			for _, v := range f.vms {
				f.t.Log(v.name, "down", v.down, "sees", v.View().Members, v.Peers())
			}
			assert.Assert(f.t, false, "%s does not hold after %v", what, limit)
		}
		f.step()
	}
	return f.now - started
}

func (f *fleet) step() {
	f.now += tick
	due := f.timeouts
	f.timeouts = nil
	for _, l := range due {
		if l.at > f.now {
			f.timeouts = append(f.timeouts, l)
		} else if l.from.running() && l.from.Membership == l.member {
			f.send(l.from, l.from.HandleFailure(f.now, l.request))
		}
	}
	for _, v := range f.vms {
		if !v.running() {
			continue
		}
		requests := v.Tick(f.now)
		if f.onTick != nil {
			f.onTick(v)
		}
		f.send(v, requests)
		if v.Evicted() {
			v.rejoined = true
			v.Membership = v.Rejoin(f.now, v.Self().ID+1)
			v.activeAt = 0
		}
		f.handOver(v)
		if v.activeAt == 0 && v.Self().State == lhflow.Active {
			v.activeAt = f.now
		}
	}
}

func (v *vm) running() bool { return !v.down && !v.frozen }

// send executes the requests of a VM.
func (f *fleet) send(from *vm, requests []Request) {
	for _, r := range requests {
		f.exchange(from, r)
	}
}

// exchange executes one request and reports whether it was answered.
func (f *fleet) exchange(from *vm, r Request) bool {
	from.count(r.Message)
	to := f.at(r.Control)
	reply, arrived := f.answer(from, to, r.Message)
	if !arrived {
		f.timeouts = append(f.timeouts, requestTimeout{f.now + from.timing.Probe, from, from.Membership, r})
		return false
	}
	from.applyRevision(reply)
	from.HandleResponse(f.now, r, reply)
	return true
}

func (f *fleet) answer(from, to *vm, msg Message) (Message, bool) {
	if to == nil || !to.running() || f.partitioned != nil && f.partitioned(from, to) || f.lost() {
		return Message{}, false
	}
	to.applyRevision(msg)
	reply, probe := to.Receive(f.now, msg)
	if probe != nil {
		reply.Reached = f.exchange(to, *probe)
	}
	to.count(reply)
	return reply, !f.lost()
}

// applyRevision puts the revision in a message in force, which simulates an
// immediate fetch.
func (v *vm) applyRevision(m Message) { v.SetRevision(m.Revision) }

func (f *fleet) lost() bool { return f.loss > 0 && f.rng.Float64() < f.loss }

func (v *vm) count(m Message) {
	v.sent++
	v.bytes += uint64(proto.Size(encodeMessage(m)))
}

// handOver completes the hand-over of a VM to the joining members.
func (f *fleet) handOver(v *vm) {
	if v.handOverBlocked {
		return
	}
	for _, id := range v.PendingHandOvers() {
		to := f.member(id)
		if to == nil || !to.running() || f.partitioned != nil && f.partitioned(v, to) {
			continue
		}
		if to.HandOverReceived(v.Self().ID) {
			v.HandOverSent(id)
		}
	}
}

func (f *fleet) at(control netip.AddrPort) *vm {
	for _, v := range f.vms {
		if v.control == control {
			return v
		}
	}
	return nil
}

func (f *fleet) member(id lhflow.MemberID) *vm {
	for _, v := range f.vms {
		if v.Self().ID == id {
			return v
		}
	}
	return nil
}

// agree reports whether the views of the running VMs that satisfy want contain
// exactly these VMs.
func (f *fleet) agree(want func(*vm) bool) bool {
	var live []*vm
	for _, v := range f.vms {
		if v.running() && v.Self().State != lhflow.Gone && want(v) {
			live = append(live, v)
		}
	}
	for _, v := range live {
		if len(v.View().Members) != len(live) {
			return false
		}
		for _, w := range live {
			m, ok := v.View().Member(w.Self().ID)
			if !ok || m != w.Self().Member {
				return false
			}
		}
	}
	return true
}

func (f *fleet) allActive(count int) bool {
	active := 0
	for _, v := range f.vms {
		if v.running() && v.Self().State == lhflow.Active {
			active++
		}
	}
	return active == count && f.agree(everyVM)
}

func everyVM(*vm) bool { return true }

// sees reports whether a VM's view contains a member.
func (v *vm) sees(id lhflow.MemberID) bool {
	_, ok := v.View().Member(id)
	return ok
}

// seenBy reports whether the view of any other running VM contains a member.
func (f *fleet) seenBy(id lhflow.MemberID) bool {
	for _, v := range f.vms {
		if v.running() && v.Self().ID != id && v.sees(id) {
			return true
		}
	}
	return false
}

// forEachSeed runs a test with each of the seeds 1 to count.
func forEachSeed(t *testing.T, count uint64, run func(t *testing.T, f *fleet)) {
	for seed := uint64(1); seed <= count; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { run(t, newFleet(t, seed)) })
	}
}
