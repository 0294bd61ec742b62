// Package lhcode numbers the results that laburnumhollow reports to operators
// and to its own processes.
//
// A code is stable: scripts may test for it, and docs/CODES.md lists each with
// its meaning and what to do about it. An error that carries a code keeps its
// text and its cause, so the code is for machines and the text for people.
//
//	err := lhcode.New(lhcode.Conflict, "file 20-kinds.ini changed meanwhile")
//	lhcode.Of(err) // lhcode.Conflict
package lhcode
