package lhkey

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// now is the common reference time of the tests.
var now = time.Now()

func newAuthority(t testing.TB, group string) *Authority {
	t.Helper()
	return newAuthorityAt(t, group, now)
}

func newAuthorityAt(t testing.TB, group string, at time.Time) *Authority {
	t.Helper()
	a, err := NewAuthority(group, at)
	assert.NilError(t, err)
	return a
}

// writeKeyFiles writes the files of a VM to a temporary folder.
func writeKeyFiles(t testing.TB, a *Authority, group string, at time.Time) Files {
	t.Helper()
	dir := t.TempDir()
	authority, err := a.KeyPair()
	assert.NilError(t, err)
	assert.NilError(t, authority.Save(dir, AuthorityName))
	pair, err := a.Issue(VM{Group: group, Name: "vm", Addresses: []netip.Addr{netip.MustParseAddr("10.0.0.1")}}, at)
	assert.NilError(t, err)
	assert.NilError(t, pair.Save(dir, "vm"))
	return FilesIn(dir, "vm")
}

// openAt loads files with the clock fixed at the given time.
func openAt(t testing.TB, files Files, group string, at time.Time) *Credentials {
	t.Helper()
	keys, err := loadKeyMaterial(files, GroupDNSName(group), at)
	assert.NilError(t, err)
	return &Credentials{
		files: files, dnsName: GroupDNSName(group), keys: keys, log: zerolog.Nop(),
		clock: func() time.Time { return at },
	}
}

// handshake performs a handshake over a new connection and returns the error of each
// side.
func handshake(t *testing.T, client, server *Credentials) (clientErr, serverErr error) {
	t.Helper()
	a, b := connect(t)
	return handshakeOn(t, client, server, a, b)
}

// connect returns both ends of a TCP connection. net.Pipe is unsuitable because it is
// unbuffered, and both sides of a handshake may write at the same time.
func connect(t testing.TB) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	client, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	server, err = listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return client, server
}

func handshakeOn(t testing.TB, client, server *Credentials, a, b net.Conn) (clientErr, serverErr error) {
	t.Helper()
	serverDone := make(chan error, 1)
	go func() {
		conn := tls.Server(b, server.ServerConfig())
		err := conn.HandshakeContext(t.Context())
		if err == nil {
			// In TLS 1.3 the client's handshake returns before the server has verified
			// the client certificate; this byte confirms that it was accepted.
			_, err = conn.Write([]byte{1})
		}
		_ = b.Close()
		serverDone <- err
	}()
	conn, err := client.Handshake(context.Background(), a)
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	_ = a.Close()
	return err, <-serverDone
}

func TestHandshake(t *testing.T) {
	hokkaido, honshu := newAuthority(t, "hokkaido"), newAuthority(t, "honshu")
	credentialsOf := func(a *Authority, group string) *Credentials {
		return openAt(t, writeKeyFiles(t, a, group, now), group, now)
	}
	local := credentialsOf(hokkaido, "hokkaido")
	cases := []struct {
		name string
		peer *Credentials
		at   time.Time
		ok   bool
	}{
		{"same group", credentialsOf(hokkaido, "hokkaido"), now, true},
		{"other authority", credentialsOf(newAuthority(t, "hokkaido"), "hokkaido"), now, false},
		{"other group", credentialsOf(honshu, "honshu"), now, false},
		{"expired", credentialsOf(hokkaido, "hokkaido"), now.Add(VMValidity + time.Second), false},
		{"not valid yet", credentialsOf(hokkaido, "hokkaido"), now.Add(-time.Hour), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			local.clock = func() time.Time { return c.at }
			_, serverErr := handshake(t, c.peer, local)
			assert.Equal(t, serverErr == nil, c.ok, "%v", serverErr)
			before := local.Counters().FailedHandshakes
			clientErr, _ := handshake(t, local, c.peer)
			assert.Equal(t, clientErr == nil, c.ok, "%v", clientErr)
			if !c.ok {
				assert.Equal(t, lhcode.Of(clientErr), lhcode.PeerRefused)
				assert.Equal(t, local.Counters().FailedHandshakes, before+1)
			}
		})
	}
}

// TestSharedAuthorityChecksGroupName guards against accepting a certificate of
// another group when both groups share an authority without name constraints.
// NewAuthority never creates such an authority, but operators may use their own.
func TestSharedAuthorityChecksGroupName(t *testing.T) {
	shared := newAuthority(t, "hokkaido")
	template := newTemplate("shared", now, VMValidity)
	template.IsCA = true
	var err error
	shared.certificate, err = sign(template, template, shared.key, shared.key)
	assert.NilError(t, err)
	hokkaido := openAt(t, writeKeyFiles(t, shared, "hokkaido", now), "hokkaido", now)
	honshu := openAt(t, writeKeyFiles(t, shared, "honshu", now), "honshu", now)
	clientErr, serverErr := handshake(t, hokkaido, honshu)
	assert.Assert(t, clientErr != nil && serverErr != nil)
	// The server also refuses when the client skips the check.
	honshu.dnsName = hokkaido.dnsName
	_, serverErr = handshake(t, honshu, hokkaido)
	assert.ErrorContains(t, serverErr, "hokkaido.peers")
}

func TestOpenErrors(t *testing.T) {
	good := writeKeyFiles(t, newAuthority(t, "hokkaido"), "hokkaido", time.Now())
	other := writeKeyFiles(t, newAuthority(t, "hokkaido"), "hokkaido", time.Now())
	past := now.Add(-2 * VMValidity)
	old := writeKeyFiles(t, newAuthorityAt(t, "hokkaido", past), "hokkaido", past)
	cases := []struct {
		name  string
		files Files
		group string
		code  lhcode.Code
	}{
		{"good", good, "hokkaido", lhcode.OK},
		{"missing files", FilesIn(t.TempDir(), "vm"), "hokkaido", lhcode.FileUnreadable},
		{"other CA", Files{other.CA, good.Certificate, good.Key}, "hokkaido", lhcode.KeyInvalid},
		{"other key", Files{good.CA, good.Certificate, other.Key}, "hokkaido", lhcode.KeyInvalid},
		{"key for CA", Files{good.Key, good.Certificate, good.Key}, "hokkaido", lhcode.KeyInvalid},
		{"other group", good, "honshu", lhcode.KeyInvalid},
		{"expired", old, "hokkaido", lhcode.KeyInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Open(c.files, c.group, zerolog.Nop())
			assert.Equal(t, lhcode.Of(err), c.code, "%v", err)
		})
	}
}

// TestReload checks that unusable files leave the previous keys in use and that
// usable ones replace them without reopening.
func TestReload(t *testing.T) {
	a := newAuthority(t, "hokkaido")
	files := writeKeyFiles(t, a, "hokkaido", now)
	credentials := openAt(t, files, "hokkaido", now)
	peer := openAt(t, writeKeyFiles(t, a, "hokkaido", now), "hokkaido", now)
	first := credentials.currentKeys()

	assert.NilError(t, os.WriteFile(files.Certificate, []byte("half a fi"), 0o600))
	for range 3 {
		clientErr, _ := handshake(t, credentials, peer)
		assert.NilError(t, clientErr)
	}
	assert.Equal(t, credentials.currentKeys(), first)
	assert.Equal(t, credentials.Counters(), Counters{FailedReloads: 4})

	pair, err := a.Issue(VM{Group: "hokkaido", Name: "renewed"}, now)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.Certificate, pair.Certificate, 0o600))
	assert.NilError(t, os.WriteFile(files.Key, pair.Key, 0o600))
	clientErr, _ := handshake(t, credentials, peer)
	assert.NilError(t, clientErr)
	assert.Equal(t, credentials.currentKeys().certificate.Leaf.Subject.CommonName, "renewed")
	assert.Equal(t, credentials.Counters().Reloads, uint64(1))
}

// TestSaveDoesNotOverwrite also checks the file permissions and that no key is left
// behind when its certificate already exists.
func TestSaveDoesNotOverwrite(t *testing.T) {
	dir := t.TempDir()
	pair := KeyPair{Certificate: []byte("c"), Key: []byte("k")}
	assert.NilError(t, pair.Save(dir, "vm"))
	assert.Equal(t, lhcode.Of(pair.Save(dir, "vm")), lhcode.FileExists)
	for _, path := range []string{FilesIn(dir, "vm").Certificate, FilesIn(dir, "vm").Key} {
		info, err := os.Stat(path)
		assert.NilError(t, err)
		assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
	}
	assert.NilError(t, os.Remove(FilesIn(dir, "vm").Key))
	assert.Equal(t, lhcode.Of(pair.Save(dir, "vm")), lhcode.FileExists)
	_, err := os.Stat(FilesIn(dir, "vm").Key)
	assert.Assert(t, errors.Is(err, os.ErrNotExist))
}

func TestIssueRejectsOtherGroup(t *testing.T) {
	_, err := newAuthority(t, "hokkaido").Issue(VM{Group: "honshu", Name: "vm"}, now)
	assert.Equal(t, lhcode.Of(err), lhcode.KeyInvalid)
}
