package lhdemo

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// Bounds of a layout: a fleet on one machine stays small.
const (
	maxDataCentres = 8
	maxVMs         = 16
	maxServices    = 8
	maxServers     = 32
)

// Addresses of the stand-ins and of services. The last byte counts.
const (
	fabricAddress  = "127.0.1.1:0"
	vmAddress      = "127.0.2.%d:0"
	serverAddress  = "127.0.3.%d:0"
	serviceAddress = "10.9.0.%d:80"
)

// Layout says what a fleet consists of. VMs and the servers of each service are
// spread evenly over the data centres.
type Layout struct {
	DataCentres int
	VMs         int
	Services    int
	// Servers is how many backend servers each service has.
	Servers int
	// Slots is how many requests a backend server carries out at a time; at least 1.
	Slots int
	// Work is how long a request takes in its slot.
	Work time.Duration
	// Reports says what the servers report of their load.
	Reports Reports
	// Kinds is what the services' flows are told apart by; each kind belongs to
	// every service. It may be empty.
	Kinds []Kind
	// Seed sets the order in which packets are sprayed over the VMs.
	Seed uint64
}

// Reports is what backend servers report of their load. The zero Reports is none.
type Reports string

// The known Reports.
const (
	ReportsNone     Reports = ""
	ReportsTrue     Reports = "true"
	ReportsFrozen   Reports = "frozen"
	ReportsZero     Reports = "zero"
	ReportsInverted Reports = "inverted"
	ReportsDown     Reports = "down"
)

// mode returns what a stand-in is told; false where it reports nothing.
func (r Reports) mode() (mode lhstand.ReportMode, ok bool) {
	modes := map[Reports]lhstand.ReportMode{
		ReportsTrue:     lhstand.ReportTrue,
		ReportsFrozen:   lhstand.ReportFrozen,
		ReportsZero:     lhstand.ReportZero,
		ReportsInverted: lhstand.ReportInverted,
		ReportsDown:     lhstand.ReportDown,
	}
	mode, ok = modes[r]
	return mode, ok
}

// Kind is a kind of work, told apart by the addresses of its callers.
type Kind struct {
	Name    string
	Callers netip.Prefix
	Urgency int
	// Share is the guaranteed part of the capacity, in percent.
	Share int
}

// validate refuses a layout that is out of bounds.
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
			return lhcode.Newf(lhcode.Usage, "%d %s; 1 to %d are allowed", b.value, b.what, b.max)
		}
	}
	if _, ok := l.Reports.mode(); !ok && l.Reports != ReportsNone {
		return lhcode.Newf(lhcode.Usage, "reports %q are none of true, frozen, zero, inverted, down", l.Reports)
	}
	return nil
}

// dataCentre returns the data centre of the VM or server with a number from 0.
func (l Layout) dataCentre(number int) string {
	return fmt.Sprintf("dc%d", number%l.DataCentres+1)
}

// serviceName returns the name of the service with a number from 0.
func serviceName(service int) string { return fmt.Sprintf("service%d", service+1) }

// serviceAt returns where callers reach the service with a number from 0.
func serviceAt(service int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf(serviceAddress, service+1))
}

// serverName returns the name of a service's server with a number from 0.
func serverName(service, server int) string {
	return fmt.Sprintf("%s-%d", serviceName(service), server+1)
}

// vmName returns the name of the VM with a number from 0.
func vmName(vm int) string { return fmt.Sprintf("vm%d", vm+1) }
