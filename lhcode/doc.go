// Package lhcode defines the result codes that laburnumhollow reports to operators
// and uses between its own processes.
//
// Codes are stable, so scripts may match on them. docs/CODES.md lists every code
// with its meaning and the recommended action. An error with a code also keeps its
// message and cause: programs use the code, people read the message.
//
//	err := lhcode.New(lhcode.Conflict, "file 20-kinds.ini changed meanwhile")
//	lhcode.Of(err) // lhcode.Conflict
package lhcode
