package lhcode

import (
	stderrors "errors"
	"fmt"

	"github.com/pkg/errors"
)

// Code is the number of a result. Zero means success.
type Code uint16

// The result codes. The hundreds name the area: 1 settings and folders,
// 2 acceptance of a configuration, 3 packets, 4 flows, 5 admission, 6 peers,
// 7 operation of a process.
const (
	OK Code = 0

	// Internal is a fault of the program itself.
	Internal Code = 1
	// Usage is a wrong call on the command line.
	Usage Code = 2

	// SettingUnknown is a key or section that no process knows.
	SettingUnknown Code = 101
	// SettingMissing is a required key that is absent.
	SettingMissing Code = 102
	// SettingInvalid is a value of the wrong form or unit.
	SettingInvalid Code = 103
	// SettingRange is a value outside its permitted range.
	SettingRange Code = 104
	// FileUnreadable is a file or folder that can't be read.
	FileUnreadable Code = 105
	// ReferenceUnknown is a name that is used and nowhere declared.
	ReferenceUnknown Code = 106
	// DeclaredTwice is an address or name that two declarations claim.
	DeclaredTwice Code = 107
	// KeyInvalid is a certificate or key that can't be used.
	KeyInvalid Code = 108
	// FileExists is a file that would have been replaced.
	FileExists Code = 109

	// Conflict is an apply that another operator's change to the same file preceded.
	Conflict Code = 201
	// StoreUnavailable is a platform service that gave no answer.
	StoreUnavailable Code = 202
	// OutcomeUnknown is a write whose reply was lost and could not be looked up.
	OutcomeUnknown Code = 203
	// RevisionLower is a configuration older than the one in force.
	RevisionLower Code = 204
	// LeaseLost is a lease that lapsed before its holder acted.
	LeaseLost Code = 205
	// NotFound is a key, file, server or revision that does not exist.
	NotFound Code = 206
	// HistoryLost is a store that no longer has the changes since a revision.
	HistoryLost Code = 208
	// PreconditionFailed is a conditional write to a key that had changed meanwhile.
	PreconditionFailed Code = 207

	// PacketInvalid is a datagram that is no whole packet.
	PacketInvalid Code = 301

	// PeerUnreachable is a peer that gave no answer in time.
	PeerUnreachable Code = 601
	// PeerUnknown is a member that this VM does not know.
	PeerUnknown Code = 602
	// PeerReplaced is a member whose VM has since been started anew.
	PeerReplaced Code = 603
	// PeerRefused is a peer that can't prove that it belongs to the group.
	PeerRefused Code = 604

	// Unreachable is an entry process that gave no answer to an operator.
	Unreachable Code = 701
	// NotServing is an entry process that starts or leaves and takes no packets.
	NotServing Code = 702
	// SocketFailed is an address that a process could not open or serve.
	SocketFailed Code = 703

	// NotReached is a demo or load run whose fleet did not get to a state in time.
	NotReached Code = 801
	// FlowsBroken is a demo or load run in which flows broke.
	FlowsBroken Code = 802
)

// Error is an error with a result code. The zero Error is not valid; use New or Wrap.
type Error struct {
	code  Code
	cause error
}

// New returns an error with code c and a text.
func New(c Code, text string) error {
	return &Error{code: c, cause: errors.New(text)}
}

// Newf returns an error with code c and a formatted text.
func Newf(c Code, format string, args ...any) error {
	return &Error{code: c, cause: errors.Errorf(format, args...)}
}

// Wrap adds code c and a text to err. It returns nil when err is nil.
func Wrap(c Code, err error, text string) error {
	if err == nil {
		return nil
	}
	return &Error{code: c, cause: errors.Wrap(err, text)}
}

// Error returns the code and the text.
func (e *Error) Error() string {
	return fmt.Sprintf("[%d] %v", e.code, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Code returns the number of the result.
func (e *Error) Code() Code { return e.code }

// Of returns the code that err carries: OK for nil, Internal where it has none.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if stderrors.As(err, &coded) {
		return coded.code
	}
	return Internal
}
