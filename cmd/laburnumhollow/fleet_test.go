package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhentry"
	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// commandEnv is the environment variable that makes the test binary run the command line
// in place of the tests.
const commandEnv = "LABURNUMHOLLOW_COMMAND"

func TestMain(m *testing.M) {
	setLogTimeFormat()
	if os.Getenv(commandEnv) != "" {
		os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// waitTimeout limits how long a test waits for a condition. It is generous, because it
// does not check performance.
const waitTimeout = 60 * time.Second

// Addresses of the fleet. The last byte of a VM or server address is its number.
const (
	fabricAddress = "127.0.1.1:0"
	vmHost        = "127.0.2.%d:0"
	serverHost    = "127.0.3.%d:0"
	cutdesk       = "10.9.0.1:80"
	proofbox      = "10.9.0.2:80"
)

// fleet is a group of entry processes with a fake platform, fabric and backend servers in
// the test process.
type fleet struct {
	t        *testing.T
	dir      string
	platform lhstand.Platform
	fabric   lhstand.Fabric
	servers  map[string]*lhstand.BackendServer
	vms      []*process
	callers  int
	// inProcess returns the network of a VM. If it is set, VMs run in the test process.
	inProcess func(*process) lhentry.Network
	// control limits the control traffic of each VM. The default is 3 KB/s.
	control string
	// keys is the folder with the group's TLS keys. It is empty for a group without TLS.
	keys string
}

// process is one entry VM, in a child process or in the test process.
type process struct {
	name string
	dc   string
	// command is nil for a VM in the test process, which stop stops.
	command *exec.Cmd
	stop    context.CancelFunc
	data    netip.AddrPort
	control string
	ops     string
	// ca is the CA file of a VM that serves its operations API over HTTPS. It is empty
	// for HTTP.
	ca string
	// err is the result of the process. It is set before ended is closed.
	err   error
	ended chan struct{}
	log   *logBuffer
}

// logBuffer collects the log of a process.
type logBuffer struct {
	mu   sync.Mutex
	text []byte
}

// newFleet starts the fakes and one VM in each of the named data centres, with a
// configuration of two services in force.
func newFleet(t *testing.T, dataCentres ...string) *fleet {
	t.Helper()
	return startFleet(t, nil, dataCentres...)
}

func startFleet(t *testing.T, inProcess func(*process) lhentry.Network, dataCentres ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), inProcess: inProcess}
	f.start(dataCentres...)
	return f
}

// start starts the fakes and VMs of a fleet whose dir is set.
func (f *fleet) start(dataCentres ...string) {
	t := f.t
	t.Helper()
	f.servers = map[string]*lhstand.BackendServer{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	assert.NilError(t, f.platform.Start())
	t.Cleanup(func() { _ = f.platform.Close() })
	f.fabric.Seed = 1
	f.fabric.CountPerFlow = true
	assert.NilError(t, f.fabric.Start(ctx, netip.MustParseAddrPort(fabricAddress)))
	f.writeConfig("10-services.ini", fmt.Sprintf("[service cutdesk]\naddress = %s\nproto = tcp\n\n[service proofbox]\naddress = %s\nproto = tcp\n", cutdesk, proofbox))
	for i := range 4 {
		f.addServer(ctx, "cutdesk", i+1, dataCentres[i%len(dataCentres)])
	}
	f.addServer(ctx, "proofbox", 5, dataCentres[0])
	f.addServer(ctx, "proofbox", 6, dataCentres[len(dataCentres)-1])
	f.apply()
	for _, dc := range dataCentres {
		f.startVM(dc)
	}
	f.awaitReady()
}

func (f *fleet) writeConfig(name, text string) {
	assert.NilError(f.t, os.MkdirAll(filepath.Join(f.dir, "conf"), 0o755))
	assert.NilError(f.t, os.WriteFile(filepath.Join(f.dir, "conf", name), []byte(text), 0o600))
}

func (f *fleet) addServer(ctx context.Context, service string, n int, dc string) {
	name := fmt.Sprintf("%s-%d", service, n)
	s := &lhstand.BackendServer{Name: name, Service: service, Seed: uint64(n)}
	assert.NilError(f.t, s.Start(ctx, netip.MustParseAddrPort(fmt.Sprintf(serverHost, n))))
	f.servers[name] = s
	f.writeConfig("20-"+name+".ini", fmt.Sprintf(
		"[server %s]\nservice = %s\naddress = %v\ndatacentre = %s\nslots = 2\nflows = 2000\n", name, service, s.Address(), dc))
}

// apply applies the fleet's configuration folder with the apply command.
func (f *fleet) apply() {
	f.t.Helper()
	code, stdout, stderr := runCLI(f.t, "apply", filepath.Join(f.dir, "conf"), "--platform", f.platform.URL())
	assert.Equal(f.t, code, exitOK, "%s%s", stdout, stderr)
}

func (f *fleet) startVM(dc string) *process {
	f.t.Helper()
	n := len(f.vms) + 1
	p := &process{name: fmt.Sprintf("%s-%d", dc, n), dc: dc, ended: make(chan struct{}), log: &logBuffer{}}
	contact := ""
	for _, vm := range f.running() {
		contact = "[peers]\ncontact = " + vm.control + "\n"
		break
	}
	address := fmt.Sprintf(vmHost, n)
	settings := fmt.Sprintf(`[vm]
name = %s
datacentre = %s
group = hokkaido
seed = 5f1d0c6e8a7b49239d4c1e2f30a5b687
[listen]
data = %s
control = %s
ops = %s
[fabric]
from = %v
to = %v
%s[platform]
url = %s
[limits]
workers = 2
control = %s
[times]
stop = 10s
heartbeat = 200ms
suspect = 1s
%s`, p.name, dc, address, address, address, f.fabric.Address().Addr(), f.fabric.Address(), contact, f.platform.URL(), cmp.Or(f.control, "3KB/s"), f.tlsSection(p, n))
	path := writeFile(f.t, f.dir, p.name+".ini", settings)
	listening := make(chan struct{})
	if f.inProcess != nil {
		f.launchInProcess(p, path, listening)
	} else {
		f.launch(p, path, listening)
	}
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.t.Logf("%s:\n%s%s", p.name, p.log.String(), p.nonzeroCounters())
		}
	})
	select {
	case <-listening:
	case <-time.After(waitTimeout):
		f.t.Fatalf("%s is not listening:\n%s", p.name, p.log.String())
	}
	f.vms = append(f.vms, p)
	return p
}

// launch starts a VM in a child process.
func (f *fleet) launch(p *process, path string, listening chan<- struct{}) {
	p.command = exec.Command(os.Args[0], "entry", "--settings", path)
	p.command.Env = append(os.Environ(), commandEnv+"=1")
	stderr, err := p.command.StderrPipe()
	assert.NilError(f.t, err)
	assert.NilError(f.t, p.command.Start())
	f.t.Cleanup(func() { _ = p.command.Process.Kill() })
	go func() {
		p.readLog(stderr, listening)
		p.setEnded(p.command.Wait())
	}()
}

// setEnded records the result of the process and marks it as ended.
func (p *process) setEnded(err error) {
	p.err = err
	close(p.ended)
}

// launchInProcess starts a VM in the test process, on the network from f.inProcess.
func (f *fleet) launchInProcess(p *process, path string, listening chan<- struct{}) {
	settings, err := lhconf.ReadSettings(path)
	assert.NilError(f.t, err)
	log, w := io.Pipe()
	entry, err := lhentry.NewWithNetwork(f.inProcess(p), settings, newLogger(w, settings.LogLevel, settings.Name))
	assert.NilError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	done := entry.Run(context.Background(), ctx)
	go p.readLog(log, listening)
	f.t.Cleanup(func() {
		stop()
		<-done
		_ = w.Close()
	})
}

// readLog collects the log of the VM and reads its addresses from the line "listening".
func (p *process) readLog(r io.Reader, listening chan<- struct{}) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		_, _ = p.log.Write([]byte(lines.Text() + "\n"))
		var line struct{ Message, Data, Control, Ops string }
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Message != "listening" {
			continue
		}
		p.data = netip.MustParseAddrPort(line.Data)
		p.control = line.Control
		p.ops = line.Ops
		close(listening)
	}
}

// Write appends to the log. It never returns an error.
func (b *logBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text = append(b.text, text...)
	return len(text), nil
}

// String returns the log so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.text)
}

// running returns the VMs whose process has not ended.
func (f *fleet) running() []*process {
	var list []*process
	for _, p := range f.vms {
		select {
		case <-p.ended:
		default:
			list = append(list, p)
		}
	}
	return list
}

// route makes the fabric and servers send packets to the given VMs, as the platform does
// according to its health checks.
func (f *fleet) route(vms ...*process) {
	var list []netip.AddrPort
	for _, p := range vms {
		list = append(list, p.data)
	}
	f.fabric.SetMembers(list...)
	for _, s := range f.servers {
		s.SetMembers(list...)
	}
}

// awaitReady waits until all running VMs are ready and list exactly each other as active
// members, and then routes packets to them.
func (f *fleet) awaitReady() {
	f.t.Helper()
	vms := f.running()
	for _, p := range vms {
		f.awaitDump(p, "ready", func(d lhops.Dump) bool {
			active := 0
			for _, m := range d.Members {
				if m.State.String() == "active" {
					active++
				}
			}
			return d.Health.Ready() && active == len(vms) && len(d.Members) == len(vms)
		})
	}
	f.route(vms...)
}

// awaitDump waits until the dump of a VM meets a condition and returns that dump.
func (f *fleet) awaitDump(p *process, what string, met func(lhops.Dump) bool) lhops.Dump {
	f.t.Helper()
	var last lhops.Dump
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		d, err := p.dump(f.t.Context())
		if err != nil {
			return poll.Continue("%s: %v", p.name, err)
		}
		last = d
		if !met(d) {
			return poll.Continue("%s is not %s: %v revision %d members %v", p.name, what, d.Health, d.Revision, d.Members)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
	return last
}

// awaitLog waits until a VM has logged a message. The VM may have exited by then.
func (f *fleet) awaitLog(p *process, message string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if !strings.Contains(p.log.String(), `"message":"`+message+`"`) {
			return poll.Continue("%s has not logged %q", p.name, message)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
}

func (p *process) dump(ctx context.Context) (lhops.Dump, error) {
	client, err := (&opsClient{timeout: 5 * time.Second, ca: p.ca}).service(p.ops)
	if err != nil {
		return lhops.Dump{}, err
	}
	return client.Dump(ctx, "")
}

// nonzeroCounters lists the non-zero counters other than packet counts, such as those of
// dropped packets, for the log of a failed test.
func (p *process) nonzeroCounters() string {
	d, err := p.dump(context.Background())
	if err != nil {
		return err.Error()
	}
	text := ""
	for name, n := range d.Counters {
		if n > 0 && !strings.HasPrefix(name, "packets_") {
			text += fmt.Sprintf("%s %d\n", name, n)
		}
	}
	return text
}

// signal sends a signal to a process that the test started.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.t.Helper()
	assert.NilError(f.t, p.command.Process.Signal(s))
}

// awaitExit waits until the process has ended and returns its result.
func (f *fleet) awaitExit(p *process) error {
	f.t.Helper()
	select {
	case <-p.ended:
		return p.err
	case <-time.After(waitTimeout):
		f.t.Fatalf("%s did not exit", p.name)
	}
	return nil
}

// TestEndedIsNotRunning guards against a race in which a process that awaitExit has
// reported is still listed as running. It repeats the check often, so that it falls
// between any two steps of setEnded.
func TestEndedIsNotRunning(t *testing.T) {
	const rounds = 20_000
	for range rounds {
		p := &process{name: "ebetsu-1", ended: make(chan struct{})}
		f := &fleet{t: t, vms: []*process{p}}
		go p.setEnded(io.EOF)
		assert.Equal(t, f.awaitExit(p), io.EOF)
		assert.Equal(t, len(f.running()), 0)
	}
}

// open opens a connection from a new caller port.
func (f *fleet) open(service string) (*lhstand.Conn, error) {
	f.callers++
	caller := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.7"), uint16(10000+f.callers))
	ctx, cancel := context.WithTimeout(f.t.Context(), waitTimeout)
	f.t.Cleanup(cancel)
	return f.fabric.Dial(ctx, caller, netip.MustParseAddrPort(service))
}

// dial opens a connection and fails the test if it is refused.
func (f *fleet) dial(service string) *lhstand.Conn {
	f.t.Helper()
	c, err := f.open(service)
	assert.NilError(f.t, err)
	return c
}

// ask sends a request on a connection and checks which service answers.
func (f *fleet) ask(c *lhstand.Conn, id, service string) lhstand.Reply {
	f.t.Helper()
	reply, err := lhstand.Request{ID: id, Bytes: 5000}.Do(c)
	assert.NilError(f.t, err, id)
	assert.Equal(f.t, reply.Service, service)
	return reply
}
