// Package lhkey manages the TLS keys and certificates with which the VMs of a group
// authenticate each other.
//
// Each group has its own certificate authority, which issues every VM a certificate
// with the DNS name GROUP.peers. A peer that presents such a certificate is accepted
// as a VM of the group; peers do not check which VM it is. The certificate also
// lists the VM's addresses, so that the VM can serve operators with it.
//
// Credentials loads the files of one VM and builds TLS 1.3 configurations from
// them. It checks the files at each handshake and reloads those that have changed,
// so keys are rotated without a restart. If the new files are unusable, the old
// keys stay in use; each failure is counted, and a warning is logged once until the
// files are usable again. A CA file may contain several certificates, so that both
// the old and the new authority are trusted while one replaces the other.
//
// An Authority creates the files for groups whose operators have no certificate
// authority of their own.
//
//	credentials, err := lhkey.Open(files, "hokkaido", logger)
//	listener = tls.NewListener(listener, credentials.ServerConfig())
//	conn, err := credentials.Handshake(ctx, conn)
package lhkey
