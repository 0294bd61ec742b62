package lhkey

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Files contains the paths of a VM's PEM files.
type Files struct {
	// CA contains the certificates of the trusted authorities.
	CA string
	// Certificate contains the VM's certificate chain, and Key its private key.
	Certificate string
	Key         string
}

func (f Files) paths() [3]string { return [3]string{f.CA, f.Certificate, f.Key} }

// keyMaterial is the parsed content of Files.
type keyMaterial struct {
	authorities *x509.CertPool
	// certificate has its Leaf set.
	certificate tls.Certificate
	// infos identifies the loaded version of each file, in the order of Files.paths.
	infos [3]os.FileInfo
}

// loadKeyMaterial loads files and checks that the certificate is valid for the given
// DNS name at the given time.
func loadKeyMaterial(files Files, name string, now time.Time) (*keyMaterial, error) {
	k := &keyMaterial{authorities: x509.NewCertPool()}
	var contents [3][]byte
	for i, path := range files.paths() {
		var err error
		// Stat before reading: if the file changes while it is read, the next check
		// sees another info and reloads it.
		if k.infos[i], err = os.Stat(path); err != nil {
			return nil, lhcode.Wrap(lhcode.FileUnreadable, err, "load keys")
		}
		if contents[i], err = os.ReadFile(path); err != nil {
			return nil, lhcode.Wrap(lhcode.FileUnreadable, err, "load keys")
		}
	}
	if !k.authorities.AppendCertsFromPEM(contents[0]) {
		return nil, lhcode.Newf(lhcode.KeyInvalid, "%s contains no certificate", files.CA)
	}
	var err error
	if k.certificate, err = tls.X509KeyPair(contents[1], contents[2]); err != nil {
		return nil, lhcode.Wrap(lhcode.KeyInvalid, err, files.Certificate+" and "+files.Key)
	}
	return k, k.verifyOwn(name, now, files.Certificate)
}

// verifyOwn checks that peers will accept the VM's own certificate.
func (k *keyMaterial) verifyOwn(name string, now time.Time, path string) error {
	var intermediates []*x509.Certificate
	for _, der := range k.certificate.Certificate[1:] {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return lhcode.Wrap(lhcode.KeyInvalid, err, path)
		}
		intermediates = append(intermediates, c)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if err := k.verify(k.certificate.Leaf, intermediates, name, now, usage); err != nil {
			return lhcode.Wrap(lhcode.KeyInvalid, err, path)
		}
	}
	return nil
}

// verify checks that a certificate chains to a trusted authority and has the given
// DNS name.
func (k *keyMaterial) verify(
	leaf *x509.Certificate, intermediates []*x509.Certificate, name string, now time.Time, usage x509.ExtKeyUsage,
) error {
	pool := x509.NewCertPool()
	for _, c := range intermediates {
		pool.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		DNSName:       name,
		Roots:         k.authorities,
		Intermediates: pool,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

// unchanged reports whether the files are unchanged since they were loaded.
func (k *keyMaterial) unchanged(files Files) bool {
	for i, path := range files.paths() {
		info, err := os.Stat(path)
		if err != nil {
			return false
		}
		old := k.infos[i]
		same := os.SameFile(old, info) && old.Size() == info.Size() && old.ModTime().Equal(info.ModTime())
		if !same {
			return false
		}
	}
	return true
}
