package lhkey

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Modes of what is written: nobody but its owner may read a key.
const (
	fileMode   = 0o600
	folderMode = 0o700
)

// The kinds of PEM blocks.
const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// AuthorityName is the name under which a folder keeps its authority.
const AuthorityName = "ca"

// FilesIn returns the files of a VM in a folder.
func FilesIn(dir, name string) Files {
	certificate, key := pathsIn(dir, name)
	ca, _ := pathsIn(dir, AuthorityName)
	return Files{CA: ca, Certificate: certificate, Key: key}
}

func pathsIn(dir, name string) (certificate, key string) {
	return filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")
}

// Save writes the pair into a folder as NAME.pem and NAME-key.pem. It makes the
// folder if need be and replaces no file.
func (p Pair) Save(dir, name string) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return lhcode.Wrap(lhcode.FileUnreadable, err, "make the folder")
	}
	certificatePath, keyPath := pathsIn(dir, name)
	if err := create(keyPath, p.Key); err != nil {
		return err
	}
	if err := create(certificatePath, p.Certificate); err != nil {
		// A key without its certificate is of no use.
		_ = os.Remove(keyPath)
		return err
	}
	return nil
}

// create writes a file that does not exist yet.
func create(path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if os.IsExist(err) {
		return lhcode.Newf(lhcode.FileExists, "%s exists and is not replaced", path)
	}
	if err != nil {
		return lhcode.Wrap(lhcode.FileUnreadable, err, "write keys")
	}
	_, err = f.Write(content)
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		// Half a file would stand in the way of the next call.
		_ = os.Remove(path)
	}
	return lhcode.Wrap(lhcode.FileUnreadable, err, "write keys")
}

// ReadAuthority reads the authority of a folder.
func ReadAuthority(dir string) (*Authority, error) {
	certificatePath, keyPath := pathsIn(dir, AuthorityName)
	for _, path := range []string{certificatePath, keyPath} {
		if _, err := os.Stat(path); err != nil {
			return nil, lhcode.Wrap(lhcode.FileUnreadable, err, "read the authority")
		}
	}
	pair, err := tls.LoadX509KeyPair(certificatePath, keyPath)
	if err != nil {
		return nil, lhcode.Wrap(lhcode.KeyInvalid, err, "read the authority")
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !pair.Leaf.IsCA {
		return nil, lhcode.Newf(lhcode.KeyInvalid, "%s is no authority with an ECDSA key", certificatePath)
	}
	return &Authority{certificate: pair.Leaf, key: key}, nil
}

func encodePair(certificate *x509.Certificate, key *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, lhcode.Wrap(lhcode.Internal, err, "write a key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: certificate.Raw}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: der}),
	}, nil
}
