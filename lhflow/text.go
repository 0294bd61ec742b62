package lhflow

import (
	"strconv"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// MarshalText returns the name used in settings.
func (p Proto) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads the name used in settings.
func (p *Proto) UnmarshalText(text []byte) error {
	switch string(text) {
	case TCP.String():
		*p = TCP
	case UDP.String():
		*p = UDP
	default:
		return lhcode.Newf(lhcode.SettingInvalid, "protocol %q is neither tcp nor udp", text)
	}
	return nil
}

// MarshalText returns the state's name.
func (s MemberState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the state's name.
func (s *MemberState) UnmarshalText(text []byte) error {
	for state := Joining; state <= Gone; state++ {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return lhcode.Newf(lhcode.SettingInvalid, "%q is no state of a member", text)
}

// memberIDBase is the base that member IDs are written in.
const memberIDBase = 16

// String returns the ID as operators read it.
func (m MemberID) String() string { return strconv.FormatUint(uint64(m), memberIDBase) }

// MarshalText returns the ID as text, since JSON readers round large numbers.
func (m MemberID) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText reads an ID from its text.
func (m *MemberID) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), memberIDBase, 64)
	*m = MemberID(n)
	return lhcode.Wrap(lhcode.SettingInvalid, err, "member ID")
}
