package lhstore

import (
	"net/netip"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// serverKeys returns a key for each of the configuration's servers, in their
// order. A key tells servers apart as lhconf.Assign does: by name and address,
// and by the name, protocol and address of the service.
func serverKeys(config lhconf.Config) []string {
	services := make(map[string]lhconf.Service, len(config.Services))
	for _, s := range config.Services {
		services[s.Name] = s
	}
	keys := make([]string, len(config.Servers))
	for i, b := range config.Servers {
		s := services[b.Service]
		fields := []string{b.Service, s.Proto.String(), addressText(s.Address), b.Name, addressText(b.Address)}
		keys[i] = strings.Join(fields, "|")
	}
	return keys
}

// addServer adds the server that a key stands for to config, and its service
// along with it, whether or not another server has brought it already.
func addServer(config *lhconf.Config, key string, number uint32) {
	fields := strings.Split(key, "|")
	if len(fields) != 5 {
		return
	}
	s := lhconf.Service{Name: fields[0], Address: parseAddress(fields[2])}
	for _, proto := range []lhflow.Proto{lhflow.TCP, lhflow.UDP} {
		if proto.String() == fields[1] {
			s.Proto = proto
		}
	}
	config.Services = append(config.Services, s)
	config.Servers = append(config.Servers, lhconf.BackendServer{
		Number: number, Service: s.Name, Name: fields[3], Address: parseAddress(fields[4]),
	})
}

func addressText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// parseAddress returns the address that addressText made the text of.
func parseAddress(text string) netip.AddrPort {
	a, _ := netip.ParseAddrPort(text)
	return a
}
