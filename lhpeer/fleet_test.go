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

// tick is how often a fleet drives each membership.
const tick = 50 * time.Millisecond

// vm is one membership of a fleet, driven directly.
type vm struct {
	*Membership
	name, dataCentre string
	control          netip.AddrPort
	// down is a killed process, frozen a stopped one.
	down, frozen bool
	// withheld keeps the VM from handing over.
	withheld bool
	// renewed is set once the VM has joined anew because the group went on without it.
	renewed bool
	// sent counts messages and their encoded bytes, requests and answers.
	sent, bytes uint64
	// ready is when the VM last became active, 0 before.
	ready time.Duration
}

// fleet drives memberships in simulated time and passes their messages on.
type fleet struct {
	t   assert.TestingT
	rng *rand.Rand
	now time.Duration
	vms []*vm
	// loss is the part of messages that is lost.
	loss float64
	// cut reports whether two VMs are cut off from each other; nil for never.
	cut func(a, b *vm) bool
	// late holds the requests that will fail for want of an answer.
	late []lateRequest
	// watch is called with each VM after it has ticked and before it sends; nil for nobody.
	watch func(v *vm)
}

type lateRequest struct {
	at      time.Duration
	from    *vm
	member  *Membership
	request Request
}

func newFleet(t assert.TestingT, seed uint64) *fleet {
	return &fleet{t: t, rng: rand.New(rand.NewPCG(seed, seed))}
}

// add starts a VM that knows the first contacts VMs.
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

// start starts a VM's process, or starts it anew.
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
	v.ready = 0
}

// group starts VMs one after the other and waits until all are active.
func (f *fleet) group(count int, dataCentres ...string) {
	for i := range count {
		f.add(dataCentres[i%len(dataCentres)], i)
		f.run(tick)
	}
	f.until(time.Minute+time.Duration(count)*time.Second, "all active", func() bool { return f.allActive(count) })
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// until lets time pass until a condition holds, and returns how long that took.
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
	due := f.late
	f.late = nil
	for _, l := range due {
		if l.at > f.now {
			f.late = append(f.late, l)
		} else if l.from.running() && l.from.Membership == l.member {
			f.send(l.from, l.from.Failed(f.now, l.request))
		}
	}
	for _, v := range f.vms {
		if !v.running() {
			continue
		}
		requests := v.Tick(f.now)
		if f.watch != nil {
			f.watch(v)
		}
		f.send(v, requests)
		if v.Lost() {
			v.renewed = true
			v.Membership = v.Rejoin(f.now, v.Self().ID+1)
			v.ready = 0
		}
		f.handOver(v)
		if v.ready == 0 && v.Self().State == lhflow.Active {
			v.ready = f.now
		}
	}
}

func (v *vm) running() bool { return !v.down && !v.frozen }

// send carries out the requests of a VM.
func (f *fleet) send(from *vm, requests []Request) {
	for _, r := range requests {
		f.exchange(from, r)
	}
}

// exchange carries out one request and reports whether it was answered.
func (f *fleet) exchange(from *vm, r Request) bool {
	from.count(r.Message)
	to := f.at(r.Control)
	reply, arrived := f.answer(from, to, r.Message)
	if !arrived {
		f.late = append(f.late, lateRequest{f.now + from.timing.Probe, from, from.Membership, r})
		return false
	}
	from.learn(reply)
	from.Answered(f.now, r, reply)
	return true
}

func (f *fleet) answer(from, to *vm, msg Message) (Message, bool) {
	if to == nil || !to.running() || f.cut != nil && f.cut(from, to) || f.lost() {
		return Message{}, false
	}
	to.learn(msg)
	reply, probe := to.Receive(f.now, msg)
	if probe != nil {
		reply.Reached = f.exchange(to, *probe)
	}
	to.count(reply)
	return reply, !f.lost()
}

// learn puts a revision in force that another VM has, as if it was fetched at once.
func (v *vm) learn(m Message) { v.SetRevision(m.Revision) }

func (f *fleet) lost() bool { return f.loss > 0 && f.rng.Float64() < f.loss }

func (v *vm) count(m Message) {
	v.sent++
	v.bytes += uint64(proto.Size(encodeMessage(m)))
}

// handOver has a VM hand over to the members that join.
func (f *fleet) handOver(v *vm) {
	if v.withheld {
		return
	}
	for _, id := range v.Unreleased() {
		to := f.member(id)
		if to == nil || !to.running() || f.cut != nil && f.cut(v, to) {
			continue
		}
		if to.HandedOver(v.Self().ID) {
			v.Released(id)
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

// agree reports whether all running VMs that fulfil want see exactly each other.
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

// sees reports whether a VM's view holds a member.
func (v *vm) sees(id lhflow.MemberID) bool {
	_, ok := v.View().Member(id)
	return ok
}

// seenBy reports whether any running VM still has a member in its view.
func (f *fleet) seenBy(id lhflow.MemberID) bool {
	for _, v := range f.vms {
		if v.running() && v.Self().ID != id && v.sees(id) {
			return true
		}
	}
	return false
}

// forEachSeed runs a test with fixed seeds.
func forEachSeed(t *testing.T, count uint64, run func(t *testing.T, f *fleet)) {
	for seed := uint64(1); seed <= count; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { run(t, newFleet(t, seed)) })
	}
}
