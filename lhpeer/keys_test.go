package lhpeer

import (
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhkey"
)

// keyFiles writes the key files of a VM into a new directory.
func keyFiles(t testing.TB, a *lhkey.Authority) lhkey.Files {
	t.Helper()
	dir := t.TempDir()
	authority, err := a.KeyPair()
	assert.NilError(t, err)
	assert.NilError(t, authority.Save(dir, lhkey.AuthorityName))
	files := lhkey.FilesIn(dir, "vm")
	reissue(t, a, files)
	return files
}

func newAuthority(t testing.TB) *lhkey.Authority {
	t.Helper()
	a, err := lhkey.NewAuthority("hokkaido", time.Now())
	assert.NilError(t, err)
	return a
}

func openCredentials(t testing.TB, files lhkey.Files) *lhkey.Credentials {
	t.Helper()
	credentials, err := lhkey.Open(files, "hokkaido", zerolog.Nop())
	assert.NilError(t, err)
	return credentials
}

// TestUntrustedNodesDoNotJoin checks that nodes with keys of another authority, or
// with mismatched use of TLS, cannot join a group.
func TestUntrustedNodesDoNotJoin(t *testing.T) {
	a := newAuthority(t)
	withKeys := func(credentials *lhkey.Credentials) Settings {
		return Settings{Self: lhflow.Member{DataCentre: "ebetsu"}, Keys: credentials}
	}
	cases := []struct {
		name             string
		group, untrusted *lhkey.Credentials
	}{
		{"other authority", openCredentials(t, keyFiles(t, a)), openCredentials(t, keyFiles(t, newAuthority(t)))},
		{"cleartext to TLS", openCredentials(t, keyFiles(t, a)), nil},
		{"TLS to cleartext", nil, openCredentials(t, keyFiles(t, a))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			nodes := startGroup(t, 2, func(int) Settings { return withKeys(c.group) })
			s := withKeys(c.untrusted)
			s.Contacts = []netip.AddrPort{nodes[0].settings.Self.Control, nodes[1].settings.Self.Control}
			untrusted := startNode(t, s)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if untrusted.Counters().Failures < 5 {
					return poll.Continue("%d failures", untrusted.Counters().Failures)
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second))
			assert.Equal(t, len(untrusted.View().Members), 1)
			for _, n := range nodes {
				assert.Equal(t, len(n.View().Members), 2)
			}
		})
	}
}

// TestKeyRotation replaces all keys of a group during exchanges, first those of the
// VMs, then the authority, and checks that no member becomes unreachable.
func TestKeyRotation(t *testing.T) {
	a := newAuthority(t)
	var files []lhkey.Files
	var credentials []*lhkey.Credentials
	for range 3 {
		files = append(files, keyFiles(t, a))
		credentials = append(credentials, openCredentials(t, files[len(files)-1]))
	}
	nodes := startGroup(t, 3, func(i int) Settings {
		return Settings{Self: lhflow.Member{DataCentre: "ebetsu"}, Keys: credentials[i]}
	})
	b := newAuthority(t)
	oldCA, err := a.KeyPair()
	assert.NilError(t, err)
	newCA, err := b.KeyPair()
	assert.NilError(t, err)
	both := append(append([]byte(nil), oldCA.Certificate...), newCA.Certificate...)
	steps := []struct {
		name   string
		change func(f lhkey.Files)
	}{
		{"own keys", func(f lhkey.Files) { reissue(t, a, f) }},
		{"both authorities", func(f lhkey.Files) { assert.NilError(t, os.WriteFile(f.CA, both, 0o600)) }},
		{"keys of the new one", func(f lhkey.Files) { reissue(t, b, f) }},
		{"new authority alone", func(f lhkey.Files) { assert.NilError(t, os.WriteFile(f.CA, newCA.Certificate, 0o600)) }},
	}
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			var before []uint64
			for _, c := range credentials {
				before = append(before, c.Generation())
			}
			for _, f := range files {
				s.change(f)
			}
			for i, n := range nodes {
				awaitPings(t, n, 6)
				assert.Assert(t, credentials[i].Generation() > before[i])
			}
			waitActive(t, nodes, 3)
		})
	}
	for _, n := range nodes {
		assert.Equal(t, n.Counters().Unreachable, uint64(0))
	}
}

// TestOpenConnectionIsVerifiedAgain guards against a connection outliving the trust
// in its peer: after one of two nodes changes its authority, it rejects the other
// although their connection is still open.
func TestOpenConnectionIsVerifiedAgain(t *testing.T) {
	a, b := newAuthority(t), newAuthority(t)
	files := []lhkey.Files{keyFiles(t, a), keyFiles(t, a)}
	nodes := startGroup(t, 2, func(i int) Settings {
		return Settings{Self: lhflow.Member{DataCentre: "ebetsu"}, Keys: openCredentials(t, files[i])}
	})
	pair, err := b.KeyPair()
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files[0].CA, pair.Certificate, 0o600))
	reissue(t, b, files[0])
	for i := range nodes {
		waitActive(t, nodes[i:i+1], 1)
	}
}

// reissue writes new keys for a VM.
func reissue(t testing.TB, a *lhkey.Authority, f lhkey.Files) {
	t.Helper()
	pair, err := a.Issue(lhkey.VM{Group: "hokkaido", Name: "vm"}, time.Now())
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(f.Key, pair.Key, 0o600))
	assert.NilError(t, os.WriteFile(f.Certificate, pair.Certificate, 0o600))
}
