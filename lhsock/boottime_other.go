//go:build !linux

package lhsock

import "time"

// BootTime returns the time of day, which also counts while the system is suspended.
func BootTime() time.Duration { return time.Duration(time.Now().UnixNano()) }
