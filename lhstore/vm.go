package lhstore

import "net/netip"

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"datacentre"`
	// Data is where the VM receives Geneve packets.
	Data netip.AddrPort `json:"data"`
	// Control is where the VM serves its peers.
	Control netip.AddrPort `json:"control"`
	// Leaving is set once the platform means to take the VM away.
	Leaving bool `json:"leaving,omitempty"`
}
