package lhpeer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

const peerName = "peer.example"

// signed is a certificate and its key.
type signed struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// sign returns a certificate that by has signed, or that has signed itself.
func sign(t *testing.T, by *signed) *signed {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: peerName},
		DNSNames:              []string{peerName},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  by == nil,
		BasicConstraintsValid: true,
	}
	parent, parentKey := template, key
	if by != nil {
		parent, parentKey = by.cert, by.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &signed{cert: cert, key: key}
}

// keys writes the files of a VM and returns settings that use them.
func keys(t *testing.T, authority, own *signed) Settings {
	t.Helper()
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	der, err := x509.MarshalPKCS8PrivateKey(own.key)
	assert.NilError(t, err)
	config, err := LoadTLS(
		write("authority", "CERTIFICATE", authority.cert.Raw),
		write("certificate", "CERTIFICATE", own.cert.Raw),
		write("key", "PRIVATE KEY", der),
		peerName,
	)
	assert.NilError(t, err)
	return Settings{TLS: config}
}

func TestOnlySignedPeersTakePart(t *testing.T) {
	authority, other := sign(t, nil), sign(t, nil)
	nodes := startGroup(t, 3, func(int) Settings { return keys(t, authority, sign(t, authority)) })
	for _, s := range []Settings{{}, keys(t, authority, sign(t, other))} {
		stranger := startNode(t, s)
		_, err := stranger.send(context.Background(), Request{Control: nodes[0].settings.Self.Control}, time.Second)
		assert.Equal(t, lhcode.Of(err), lhcode.PeerUnreachable)
	}
	waitActive(t, nodes, 3)
}

func TestLoadTLSNamesWhatIsMissing(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty")
	assert.NilError(t, os.WriteFile(empty, nil, 0o600))
	cases := []struct {
		name, authority string
		want            lhcode.Code
	}{
		{"no file", empty + "x", lhcode.FileUnreadable},
		{"no certificate", empty, lhcode.SettingInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := LoadTLS(c.authority, empty, empty, "")
			assert.Equal(t, lhcode.Of(err), c.want)
		})
	}
}
