package lhkey

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Files are the paths of the PEM files of a VM.
type Files struct {
	// CA holds the certificates of the authorities that are trusted.
	CA string
	// Certificate holds the VM's certificate, and Key its private key.
	Certificate string
	Key         string
}

func (f Files) paths() [3]string { return [3]string{f.CA, f.Certificate, f.Key} }

// keys is what Files held when they were read.
type keys struct {
	authorities *x509.CertPool
	// certificate has its Leaf set.
	certificate tls.Certificate
	// infos tell the files from later ones, in the order of Files.paths.
	infos [3]os.FileInfo
}

// readKeys reads files whose certificate has to be one of a group at this time.
func readKeys(files Files, name string, now time.Time) (*keys, error) {
	k := &keys{authorities: x509.NewCertPool()}
	var contents [3][]byte
	for i, path := range files.paths() {
		var err error
		// A file that changes while it is read differs from its info the next time.
		if k.infos[i], err = os.Stat(path); err != nil {
			return nil, lhcode.Wrap(lhcode.FileUnreadable, err, "read keys")
		}
		if contents[i], err = os.ReadFile(path); err != nil {
			return nil, lhcode.Wrap(lhcode.FileUnreadable, err, "read keys")
		}
	}
	if !k.authorities.AppendCertsFromPEM(contents[0]) {
		return nil, lhcode.Newf(lhcode.KeyInvalid, "%s holds no certificate", files.CA)
	}
	var err error
	if k.certificate, err = tls.X509KeyPair(contents[1], contents[2]); err != nil {
		return nil, lhcode.Wrap(lhcode.KeyInvalid, err, files.Certificate+" and "+files.Key)
	}
	return k, k.verifyOwn(name, now, files.Certificate)
}

// verifyOwn checks that peers will accept the VM's own certificate.
func (k *keys) verifyOwn(name string, now time.Time, path string) error {
	var rest []*x509.Certificate
	for _, der := range k.certificate.Certificate[1:] {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return lhcode.Wrap(lhcode.KeyInvalid, err, path)
		}
		rest = append(rest, c)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if err := k.verify(k.certificate.Leaf, rest, name, now, usage); err != nil {
			return lhcode.Wrap(lhcode.KeyInvalid, err, path)
		}
	}
	return nil
}

// verify checks that a certificate comes from an authority and is of the group.
func (k *keys) verify(
	leaf *x509.Certificate, rest []*x509.Certificate, name string, now time.Time, usage x509.ExtKeyUsage,
) error {
	between := x509.NewCertPool()
	for _, c := range rest {
		between.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		DNSName:       name,
		Roots:         k.authorities,
		Intermediates: between,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

// fresh reports whether the files are still those that were read.
func (k *keys) fresh(files Files) bool {
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
