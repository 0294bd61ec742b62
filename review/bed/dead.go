package main

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

// deadHost makes a port of a loopback address behave like one of a machine without power:
// connections to it hang. The queue of its listener is full, and nothing takes from it.
func (b *bed) deadHost(at netip.AddrPort) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	b.must(err)
	b.must(syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}))
	b.must(syscall.Listen(fd, 0))
	for range 16 {
		c, err := net.DialTimeout("tcp4", at.String(), 100*time.Millisecond)
		if err != nil {
			return
		}
		b.held = append(b.held, c)
	}
	panic(notRun{errNotDead})
}
