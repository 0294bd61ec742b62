package lhstore

import "net/netip"

// VM is an entry in the platform's list of VMs.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"datacentre"`
	// Data is the address at which the VM receives Geneve packets.
	Data netip.AddrPort `json:"data"`
	// Control is the address at which the VM serves its peers.
	Control netip.AddrPort `json:"control"`
	// Leaving is set once the platform is about to remove the VM.
	Leaving bool `json:"leaving,omitempty"`
}
