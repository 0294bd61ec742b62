// Package lhspread brings what one VM has read from the platform's store to all
// others, so that calls to the store do not grow with the number of VMs.
//
// Every VM knows the others from their entries in the store. All sort them alike, and
// the first one reads the store and tells the others: it calls the first VM of each
// data centre, which calls those that follow it in a tree. A VM that can't be reached
// is passed over, and the VMs behind it are called in its place.
//
// Nothing has to be agreed. A VM that has not been told anything for a while reads the
// store itself and tells the others, the sooner the earlier it stands in the order; so
// the loss of any VM, a cut between data centres and a store that turns some VMs away
// cost a few calls. News name the revision that they begin from: who lacks something
// before it reads the store as well.
//
// A VM that starts while the store does not answer asks the contacts of its settings for
// all they know (State).
//
// Order holds the decisions and opens no socket. Node carries them out over
// connect-go.
package lhspread
