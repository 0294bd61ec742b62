package lhconf

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// serviceWithServers returns a configuration of one service at the given port, with one
// server at each of the given ports.
func serviceWithServers(servicePort uint16, proto lhflow.Proto, serverPorts ...uint16) Config {
	service := Service{Name: "cutdesk", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.80"), servicePort), Proto: proto}
	c := Config{Services: []Service{service}}
	for i, port := range serverPorts {
		c.Servers = append(c.Servers, BackendServer{
			Name:    fmt.Sprintf("cutdesk-%d", i),
			Service: service.Name,
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), port),
			Weight:  1, Slots: 2, Flows: 2000,
		})
	}
	return c
}

func TestAssign(t *testing.T) {
	first := AssignNumbers(Config{}, serviceWithServers(443, lhflow.TCP, 1, 2))
	cases := []struct {
		name string
		next Config
		want []uint32
	}{
		{"first", serviceWithServers(443, lhflow.TCP, 1, 2), []uint32{1, 2}},
		{"added", serviceWithServers(443, lhflow.TCP, 1, 2, 3), []uint32{1, 2, 3}},
		{"moved", serviceWithServers(443, lhflow.TCP, 1, 3), []uint32{1, 3}},
		{"other port of the service", serviceWithServers(444, lhflow.TCP, 1, 2), []uint32{3, 4}},
		{"other protocol of the service", serviceWithServers(443, lhflow.UDP, 1, 2), []uint32{3, 4}},
		{"none", serviceWithServers(443, lhflow.TCP), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := AssignNumbers(first, c.next)
			var numbers []uint32
			for _, s := range got.Servers {
				numbers = append(numbers, s.Number)
			}
			assert.DeepEqual(t, numbers, c.want)
		})
	}
}

// TestAssignNeverReuses changes a configuration at random and compares each number with
// a record of all servers that have ever had it. A reused number would send packets of
// old flows to another server.
func TestAssignNeverReuses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var current Config
		holders := make(map[uint32]identity)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			next := serviceWithServers(
				rapid.Uint16Range(443, 444).Draw(t, "service port"),
				rapid.SampledFrom([]lhflow.Proto{lhflow.TCP, lhflow.UDP}).Draw(t, "proto"),
				rapid.SliceOfNDistinct(rapid.Uint16Range(1, 6), 0, 6, rapid.ID).Draw(t, "server ports")...,
			)
			previous := make(map[identity]uint32)
			for id, s := range identities(current) {
				previous[id] = s.Number
			}
			current = AssignNumbers(current, next)
			for id, s := range identities(current) {
				holder, known := holders[s.Number]
				assert.Assert(t, s.Number > 0 && s.Number < current.NextNumber)
				assert.Assert(t, !known || holder == id, "number %d was assigned to %v and then to %v", s.Number, holder, id)
				previousNumber, existed := previous[id]
				assert.Assert(t, !existed || previousNumber == s.Number, "%v changed its number", id)
				assert.Assert(t, existed || !known, "%v got a number that was used before", id)
				holders[s.Number] = id
			}
		}
	})
}
