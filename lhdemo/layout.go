package lhdemo

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// Limits of a layout: the whole fleet runs on one machine.
const (
	maxDataCentres = 8
	maxVMs         = 16
	maxServices    = 8
	maxServers     = 32
)

// Loopback addresses of the simulated hosts and of the VMs, and those of services.
// The last byte is the number of the VM, server or service.
const (
	fabricAddress  = "127.0.1.1:0"
	vmAddress      = "127.0.2.%d:0"
	serverAddress  = "127.0.3.%d:0"
	serviceAddress = "10.9.0.%d:80"
)

// Layout describes a fleet. VMs and the backend servers of each service are
// distributed evenly over the data centres.
type Layout struct {
	DataCentres int
	VMs         int
	Services    int
	// Servers is the number of backend servers of each service.
	Servers int
	// Slots is how many requests a backend server executes concurrently; at least 1.
	Slots int
	// Work is how long a request occupies its slot.
	Work time.Duration
	// Reports is the behavior of the servers' load reports.
	Reports ReportBehavior
	// Kinds are the kinds of work, declared for every service. It may be empty.
	Kinds []Kind
	// Seed seeds the random choice of a VM for each packet.
	Seed uint64
}

// ReportBehavior is the behavior of load reports. The zero value disables them.
type ReportBehavior string

// Behaviors of load reports.
const (
	ReportsNone     ReportBehavior = ""
	ReportsTrue     ReportBehavior = "true"
	ReportsFrozen   ReportBehavior = "frozen"
	ReportsZero     ReportBehavior = "zero"
	ReportsInverted ReportBehavior = "inverted"
	ReportsDown     ReportBehavior = "down"
)

// mode returns the mode of simulated servers; false if reports are disabled or r is
// unknown.
func (r ReportBehavior) mode() (mode lhstand.ReportMode, ok bool) {
	modes := map[ReportBehavior]lhstand.ReportMode{
		ReportsTrue:     lhstand.ReportTrue,
		ReportsFrozen:   lhstand.ReportFrozen,
		ReportsZero:     lhstand.ReportZero,
		ReportsInverted: lhstand.ReportInverted,
		ReportsDown:     lhstand.ReportDown,
	}
	mode, ok = modes[r]
	return mode, ok
}

// Kind is a kind of work, identified by the addresses of its callers.
type Kind struct {
	Name    string
	Callers netip.Prefix
	Urgency int
	// Share is the guaranteed share of the capacity, in percent.
	Share int
}

// validate returns a usage error if the layout exceeds a limit.
func (l Layout) validate() error {
	bounds := []struct {
		what       string
		value, max int
	}{
		{"data centres", l.DataCentres, maxDataCentres},
		{"VMs", l.VMs, maxVMs},
		{"services", l.Services, maxServices},
		{"backend servers of a service", l.Servers, maxServers},
	}
	for _, b := range bounds {
		if b.value < 1 || b.value > b.max {
			return lhcode.Newf(lhcode.Usage, "%d %s: must be 1 to %d", b.value, b.what, b.max)
		}
	}
	if _, ok := l.Reports.mode(); !ok && l.Reports != ReportsNone {
		return lhcode.Newf(lhcode.Usage, "reports %q: must be one of true, frozen, zero, inverted, down", l.Reports)
	}
	return nil
}

// dataCentre returns the name of the data centre of a VM or server by its index from 0.
func (l Layout) dataCentre(number int) string {
	return fmt.Sprintf("dc%d", number%l.DataCentres+1)
}

// serviceName returns the name of a service by its index from 0.
func serviceName(service int) string { return fmt.Sprintf("service%d", service+1) }

// serviceAt returns the address of a service by its index from 0.
func serviceAt(service int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf(serviceAddress, service+1))
}

// serverName returns the name of a backend server by the indices, from 0, of its
// service and within it.
func serverName(service, server int) string {
	return fmt.Sprintf("%s-%d", serviceName(service), server+1)
}

// vmName returns the name of a VM by its index from 0.
func vmName(vm int) string { return fmt.Sprintf("vm%d", vm+1) }
