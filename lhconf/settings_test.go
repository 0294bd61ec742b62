package lhconf

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const requiredSettings = `# A VM of sapporo-a.
[vm]
name = sapporo-a-1
datacentre = sapporo-a
group = hokkaido
seed = 000102030405060708090a0b0c0d0e0f

[listen]
data = 127.0.0.1:0
control = [::1]:7001
ops = 127.0.0.1:7002

[fabric]
from = 10.0.0.1, 10.0.0.2
to = 10.0.0.1:6081

[platform]
url = http://10.0.0.9:8080
`

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings("/etc/lh/vm.ini", []byte(requiredSettings+`
[peers]
contact = 10.0.0.11:7001, 10.0.0.12:7001
[limits]
control = 5KB/s # a busy group
[times]
stop = 1m
[log]
level = warn
[tls]
ca = keys/ca.pem
certificate = /keys/vm.pem
key = vm-key.pem
ops = on
`))
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "sapporo-a-1")
	assert.Equal(t, s.Seed, lhflow.Seed{K0: 0x0001020304050607, K1: 0x08090a0b0c0d0e0f})
	assert.Equal(t, s.Data.Port(), uint16(0))
	assert.Equal(t, len(s.Fabric), 2)
	assert.Equal(t, len(s.Peers), 2)
	assert.Equal(t, s.ControlRate, 5000)
	assert.Equal(t, s.Stop, time.Minute)
	assert.Equal(t, s.Lease, DefaultLease)
	assert.Equal(t, s.Flows, DefaultFlows)
	assert.Equal(t, s.LogLevel.String(), "warn")
	assert.Equal(t, s.TLS, TLS{CA: "/etc/lh/keys/ca.pem", Certificate: "/keys/vm.pem", Key: "/etc/lh/vm-key.pem", SecureOps: true})
}

func TestParseSettingsProblems(t *testing.T) {
	const appendedLine = 19 // the first line appended to requiredSettings
	cases := []struct {
		name string
		old  string
		new  string
		line int
		key  string
		code lhcode.Code
	}{
		{"unknown key", "name =", "nam =", 3, "vm.nam", lhcode.SettingUnknown},
		{"unknown section", "", "[limit]\nflows = 5000\n", appendedLine + 1, "limit.flows", lhcode.SettingUnknown},
		{"key before sections", "# A VM", "flows = 1\n# A VM", 1, ".flows", lhcode.SettingUnknown},
		{"missing key", "to = 10.0.0.1:6081\n", "", 13, "fabric.to", lhcode.SettingMissing},
		{"empty list", "", "[peers]\ncontact =\n", appendedLine + 1, "peers.contact", lhcode.SettingInvalid},
		{"wrong unit", "", "[times]\nstop = 30\n", appendedLine + 1, "times.stop", lhcode.SettingInvalid},
		{"zero without unit", "", "[times]\nstop = 0\n", appendedLine + 1, "times.stop", lhcode.SettingInvalid},
		{"rate without unit", "", "[limits]\ncontrol = 3000\n", appendedLine + 1, "limits.control", lhcode.SettingInvalid},
		{"rate out of range", "", "[limits]\ncontrol = 99999999999999999MB/s\n", appendedLine + 1, "limits.control", lhcode.SettingRange},
		{"out of range", "", "[limits]\nflows = 999\n", appendedLine + 1, "limits.flows", lhcode.SettingRange},
		{"not a number", "", "[limits]\nmtu = big\n", appendedLine + 1, "limits.mtu", lhcode.SettingInvalid},
		{"negative", "", "[limits]\nworkers = -1\n", appendedLine + 1, "limits.workers", lhcode.SettingInvalid},
		{"port 0 of the fabric", "10.0.0.1:6081", "10.0.0.1:0", 15, "fabric.to", lhcode.SettingRange},
		{"address without port", "[::1]:7001", "::1", 10, "listen.control", lhcode.SettingInvalid},
		{"list with an empty entry", "10.0.0.1, 10.0.0.2", "10.0.0.1,", 14, "fabric.from", lhcode.SettingInvalid},
		{"short secret", "0c0d0e0f", "0c0d0e", 6, "vm.seed", lhcode.SettingInvalid},
		{"other scheme", "http://", "ftp://", 18, "platform.url", lhcode.SettingInvalid},
		{"unknown level", "", "[log]\nlevel = loud\n", appendedLine + 1, "log.level", lhcode.SettingInvalid},
		{"set twice", "group = hokkaido", "group = hokkaido\ngroup = other", 6, "vm.group", lhcode.DeclaredTwice},
		{"no key and value", "group = hokkaido", "group = hokkaido\nhonshu", 6, "line", lhcode.SettingInvalid},
		{"empty value", "group = hokkaido", "group =", 5, "vm.group", lhcode.SettingInvalid},
		{"key without certificate", "", "[tls]\nca = a\nkey = b\n", appendedLine, "tls.certificate", lhcode.SettingMissing},
		{"operators without keys", "", "[tls]\nops = on\n", appendedLine, "tls.key", lhcode.SettingMissing},
		{"suspect under two heartbeats", "", "[times]\nheartbeat = 3s\n", appendedLine + 1, "times.suspect", lhcode.SettingRange},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := requiredSettings + c.new
			if c.old != "" {
				text = strings.Replace(requiredSettings, c.old, c.new, 1)
			}
			s, err := ParseSettings("vm.ini", []byte(text))
			assert.Equal(t, s.Name, "")
			var problems Problems
			assert.Assert(t, errors.As(err, &problems))
			p := problems[len(problems)-1]
			assert.Equal(t, p.Origin, Origin{"vm.ini", c.line}, "%v", problems)
			assert.Equal(t, p.Key, c.key)
			assert.Equal(t, p.Code, c.code)
			assert.Assert(t, p.Allowed != "")
		})
	}
}

func TestParseSettingsReportsAllProblems(t *testing.T) {
	_, err := ParseSettings("vm.ini", []byte("[vm]\nname = A\n[limits]\nflows = 1\nmtu = x\n"))
	var problems Problems
	assert.Assert(t, errors.As(err, &problems))
	assert.Equal(t, len(problems), 12, "%v", problems)
	assert.Equal(t, lhcode.Of(err), lhcode.SettingMissing)
}

func TestReadSettingsWithoutFile(t *testing.T) {
	_, err := ReadSettings(t.TempDir() + "/absent.ini")
	assert.Equal(t, lhcode.Of(err), lhcode.FileUnreadable)
	assert.Assert(t, cmp.ErrorContains(err, "absent.ini"))
}
