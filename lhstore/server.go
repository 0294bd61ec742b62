package lhstore

import (
	"net/netip"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// serverKey identifies a backend server by name at its address behind its service.
func serverKey(b lhconf.BackendServer) string {
	return b.Service + "|" + b.Name + "|" + b.Address.String()
}

func parseServerKey(key string, number uint32) lhconf.BackendServer {
	service, rest, _ := strings.Cut(key, "|")
	name, address, _ := strings.Cut(rest, "|")
	b := lhconf.BackendServer{Number: number, Service: service, Name: name}
	b.Address, _ = netip.ParseAddrPort(address)
	return b
}
