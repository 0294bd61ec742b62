package lhconf

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// endpointField parses an IP address with a port of at least lowPort.
func endpointField[T any](key string, lowPort uint16, target func(*T) *netip.AddrPort) field[T] {
	return field[T]{
		key:     key,
		allowed: fmt.Sprintf("an IP address with a port from %d to 65535, such as 10.0.1.11:6081 or [fd00::11]:6081", lowPort),
		set: func(t *T, value string) lhcode.Code {
			return setEndpoint(value, lowPort, target(t))
		},
	}
}

// endpointsField parses a comma-separated list of IP addresses with ports.
func endpointsField[T any](key string, target func(*T) *[]netip.AddrPort) field[T] {
	return field[T]{
		key:     key,
		allowed: "a comma-separated list of IP addresses with ports from 1 to 65535",
		set: func(t *T, value string) lhcode.Code {
			var list []netip.AddrPort
			for _, part := range strings.Split(value, ",") {
				var e netip.AddrPort
				if code := setEndpoint(strings.TrimSpace(part), 1, &e); code != lhcode.OK {
					return code
				}
				list = append(list, e)
			}
			*target(t) = list
			return lhcode.OK
		},
	}
}

// addressesField parses a comma-separated list of IP addresses.
func addressesField[T any](key string, target func(*T) *[]netip.Addr) field[T] {
	return field[T]{
		key:     key,
		allowed: "a comma-separated list of IP addresses without ports",
		set: func(t *T, value string) lhcode.Code {
			var list []netip.Addr
			for _, part := range strings.Split(value, ",") {
				a, err := netip.ParseAddr(strings.TrimSpace(part))
				if err != nil || a.Zone() != "" {
					return lhcode.SettingInvalid
				}
				list = append(list, a.Unmap())
			}
			*target(t) = list
			return lhcode.OK
		},
	}
}

// prefixField parses an address prefix without host bits.
func prefixField[T any](key string, target func(*T) *netip.Prefix) field[T] {
	return field[T]{
		key:     key,
		allowed: "an address prefix without host bits, such as 10.20.0.0/16",
		set: func(t *T, value string) lhcode.Code {
			p, err := netip.ParsePrefix(value)
			if err != nil || p != p.Masked() {
				return lhcode.SettingInvalid
			}
			*target(t) = p
			return lhcode.OK
		},
	}
}

// urlField parses an http or https URL.
func urlField[T any](key string, target func(*T) *string) field[T] {
	return field[T]{
		key:     key,
		allowed: "a URL that starts with http:// or https:// and has a host",
		set: func(t *T, value string) lhcode.Code {
			u, err := url.Parse(value)
			if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
				return lhcode.SettingInvalid
			}
			*target(t) = value
			return lhcode.OK
		},
	}
}

func setEndpoint(value string, lowPort uint16, target *netip.AddrPort) lhcode.Code {
	e, err := netip.ParseAddrPort(value)
	if err != nil || e.Addr().Zone() != "" {
		return lhcode.SettingInvalid
	}
	if e.Port() < lowPort {
		return lhcode.SettingRange
	}
	*target = netip.AddrPortFrom(e.Addr().Unmap(), e.Port())
	return lhcode.OK
}
