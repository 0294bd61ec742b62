package lhcode

import (
	stderrors "errors"
	"fmt"

	"github.com/pkg/errors"
)

// Code identifies the result of an operation. Zero means success.
type Code uint16

// Result codes. The hundreds digit is the area: 1 settings and configuration
// folders, 2 applying a configuration, 3 packets, 4 flows, 5 admission, 6 peers,
// 7 process operation.
const (
	OK Code = 0

	// Internal means that the program itself is at fault.
	Internal Code = 1
	// Usage means that the command line is invalid.
	Usage Code = 2

	// SettingUnknown means that a section or key is not recognized.
	SettingUnknown Code = 101
	// SettingMissing means that a required key is absent.
	SettingMissing Code = 102
	// SettingInvalid means that a value has the wrong format or unit.
	SettingInvalid Code = 103
	// SettingRange means that a value is out of range.
	SettingRange Code = 104
	// FileUnreadable means that a file or folder can't be read.
	FileUnreadable Code = 105
	// ReferenceUnknown means that a referenced name is not declared.
	ReferenceUnknown Code = 106
	// DeclaredTwice means that two declarations use the same address or name.
	DeclaredTwice Code = 107
	// KeyInvalid means that a certificate or private key can't be used.
	KeyInvalid Code = 108
	// FileExists means that a file would have been overwritten.
	FileExists Code = 109
	// EntryUnmatched means that an entry of a configuration can never match.
	EntryUnmatched Code = 110
	// LimitsContradict means that a limit has no effect because of another.
	LimitsContradict Code = 111

	// Conflict means that another operator changed the same file before the apply.
	Conflict Code = 201
	// StoreUnavailable means that the platform service did not respond.
	StoreUnavailable Code = 202
	// OutcomeUnknown means that the reply to a write was lost and that reading the
	// key back did not tell whether the write took effect.
	OutcomeUnknown Code = 203
	// RevisionLower means that a configuration is older than the active one.
	RevisionLower Code = 204
	// LeaseLost means that a lease expired before its holder acted.
	LeaseLost Code = 205
	// NotFound means that a key, file, server, data centre or revision does not exist.
	NotFound Code = 206
	// HistoryLost means that the store no longer has the changes since a revision, because it
	// has dropped its history or was restored from a copy.
	HistoryLost Code = 208
	// ResponseUnreadable means that the platform service responded, but that the response is
	// too large, can't be decoded or broke off.
	ResponseUnreadable Code = 209
	// PreconditionFailed means that the key of a conditional write has changed.
	PreconditionFailed Code = 207

	// PacketInvalid means that a datagram does not contain a complete packet.
	PacketInvalid Code = 301

	// PeerUnreachable means that a peer did not respond in time.
	PeerUnreachable Code = 601
	// PeerUnknown means that the member is not known to this VM.
	PeerUnknown Code = 602
	// PeerReplaced means that the member's VM has restarted since.
	PeerReplaced Code = 603
	// PeerRefused means that a peer could not prove membership of the group.
	PeerRefused Code = 604

	// Unreachable means that an entry process did not respond to an operator.
	Unreachable Code = 701
	// NotServing means that an entry process is starting or leaving and accepts no
	// packets.
	NotServing Code = 702
	// SocketFailed means that a process could not open or serve an address.
	SocketFailed Code = 703

	// NotReached means that the fleet of a demo or load run did not reach a state in
	// time.
	NotReached Code = 801
	// FlowsBroken means that flows broke during a demo or load run.
	FlowsBroken Code = 802
)

// Error is an error with a result code. The zero Error is invalid; use New, Newf or
// Wrap.
type Error struct {
	code  Code
	cause error
}

// New returns an error with the given code and message.
func New(c Code, text string) error {
	return &Error{code: c, cause: errors.New(text)}
}

// Newf returns an error with the given code and a formatted message.
func Newf(c Code, format string, args ...any) error {
	return &Error{code: c, cause: errors.Errorf(format, args...)}
}

// Wrap annotates err with a code and a message. It returns nil if err is nil.
func Wrap(c Code, err error, text string) error {
	if err == nil {
		return nil
	}
	return &Error{code: c, cause: errors.Wrap(err, text)}
}

// Error returns the message, prefixed by the code in brackets.
func (e *Error) Error() string {
	return fmt.Sprintf("[%d] %v", e.code, e.cause)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

// Code returns the result code.
func (e *Error) Code() Code { return e.code }

// Of returns the result code of err: OK if err is nil, and Internal if no error in
// its chain has a code.
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
