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

// Permissions of created files and folders: only the owner may read a key.
const (
	fileMode   = 0o600
	folderMode = 0o700
)

// PEM block types.
const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// AuthorityName is the base name of an authority's files in a folder.
const AuthorityName = "ca"

// FilesIn returns the paths of a VM's files in a folder.
func FilesIn(dir, name string) Files {
	certificate, key := keyPairPaths(dir, name)
	ca, _ := keyPairPaths(dir, AuthorityName)
	return Files{CA: ca, Certificate: certificate, Key: key}
}

func keyPairPaths(dir, name string) (certificate, key string) {
	return filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")
}

// Save writes the pair to a folder as NAME.pem and NAME-key.pem. It creates the
// folder if necessary and never overwrites a file.
func (p KeyPair) Save(dir, name string) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return lhcode.Wrap(lhcode.FileUnreadable, err, "create the folder")
	}
	certificatePath, keyPath := keyPairPaths(dir, name)
	if err := createFile(keyPath, p.Key); err != nil {
		return err
	}
	if err := createFile(certificatePath, p.Certificate); err != nil {
		// The key is useless without its certificate.
		_ = os.Remove(keyPath)
		return err
	}
	return nil
}

// createFile writes a new file and fails if the file exists.
func createFile(path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if os.IsExist(err) {
		return lhcode.Newf(lhcode.FileExists, "%s already exists and is not overwritten", path)
	}
	if err != nil {
		return lhcode.Wrap(lhcode.FileUnreadable, err, "write keys")
	}
	_, err = f.Write(content)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		// A partial file would make the next call fail with FileExists.
		_ = os.Remove(path)
	}
	return lhcode.Wrap(lhcode.FileUnreadable, err, "write keys")
}

// ReadAuthority loads the authority stored in a folder.
func ReadAuthority(dir string) (*Authority, error) {
	certificatePath, keyPath := keyPairPaths(dir, AuthorityName)
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
		return nil, lhcode.Newf(lhcode.KeyInvalid, "%s is not a CA certificate with an ECDSA key", certificatePath)
	}
	return &Authority{certificate: pair.Leaf, key: key}, nil
}

func encodePair(certificate *x509.Certificate, key *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, lhcode.Wrap(lhcode.Internal, err, "encode a key")
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: certificate.Raw}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: der}),
	}, nil
}
