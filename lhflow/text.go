package lhflow

import (
	"strconv"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// MarshalText returns the name used in settings.
func (p Proto) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses the name used in settings.
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

// UnmarshalText parses the state's name.
func (s *MemberState) UnmarshalText(text []byte) error {
	for state := Joining; state <= Gone; state++ {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return lhcode.Newf(lhcode.SettingInvalid, "%q is not a member state", text)
}

// memberIDBase is the number base of member IDs in text.
const memberIDBase = 16

// String returns the ID in hexadecimal.
func (m MemberID) String() string { return strconv.FormatUint(uint64(m), memberIDBase) }

// MarshalText returns the ID as text, because JSON readers round large numbers.
func (m MemberID) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText parses the text form of an ID.
func (m *MemberID) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), memberIDBase, 64)
	*m = MemberID(n)
	return lhcode.Wrap(lhcode.SettingInvalid, err, "member ID")
}
