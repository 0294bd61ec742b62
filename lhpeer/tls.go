package lhpeer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// LoadTLS reads what peers need to know each other by certificates: that of the
// authority which signs for all VMs, and this VM's own with its key, all in PEM.
// With a name, a peer's certificate has to bear that name instead of the address
// that it answers at, so that VMs may change their addresses.
func LoadTLS(authority, certificate, key, name string) (*tls.Config, error) {
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, lhcode.Wrap(lhcode.FileUnreadable, err, "reading the peers' authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, lhcode.Newf(lhcode.SettingInvalid, "%s holds no certificate", authority)
	}
	own, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, lhcode.Wrap(lhcode.FileUnreadable, err, "reading this VM's certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{own},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   name,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
