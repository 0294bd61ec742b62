// Package lhkey holds the keys by which the VMs of a group know each other.
//
// Each group has a certificate authority of its own, and each VM a certificate of
// that authority with the DNS name GROUP.peers. Whoever shows such a certificate is
// a VM of the group; which one it is does not matter to its peers. The certificate
// also holds the VM's addresses, so that it can serve operators too.
//
// A Ring reads the files of one VM and makes the settings of TLS 1.3 from them. It
// looks at the files at each handshake and takes in those that have changed, so a
// key is replaced without a restart. New files that can't be used leave the old ones
// in force; that is counted, and logged once until the files are whole again. A CA
// file may hold several certificates, so that two authorities are trusted while one
// replaces the other.
//
// An Authority makes the files, for groups whose operators have no authority.
//
//	ring, err := lhkey.Open(files, "hokkaido", logger)
//	listener = tls.NewListener(listener, ring.Server())
//	conn, err := ring.Handshake(ctx, conn)
package lhkey
