package process

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/node"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/target"
)

const (
	// waitTimeout limits every wait for a condition. It only ends tests that hang; no test result depends on its length.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	siteName     = "trial"
	// drainGrace is how long a target serves after it has announced its drain: long enough for the announcement to reach all
	// nodes on a busy machine.
	drainGrace = "5s"
)

// process is a started process.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// launch starts a binary with its output in a log file. The process is killed at the end of the test at the latest.
func launch(t *testing.T, dir, name, binary string, args ...string) *process {
	t.Helper()
	logFile, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	require.NoError(t, err)
	defer logFile.Close()
	p := &process{name: name, cmd: exec.Command(filepath.Join(binDir, binary), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	launchRequests <- func() { started <- p.cmd.Start() }
	require.NoError(t, <-started, name)
	go func() {
		_ = p.cmd.Wait() // the exit code is read from ProcessState
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // SIGKILL also ends a process that SIGSTOP has stopped
		<-p.done
	})
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s), "%s: %s", p.name, s)
}

// kill sends SIGKILL to the process and waits for its end.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.done
}

// exitCode waits for the end of the process and returns its exit code.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		require.Fail(t, "process did not end", p.name)
		return -1
	}
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// vm is a VM with its node and its target.
type vm struct {
	site                                                *site
	service, zone                                       string
	caller, peer, targetInterface, admin, targetAddress string   // addresses of the node's listeners and of the target
	call, mean                                          string   // downstream call and mean service time of the target
	settings                                            string   // file
	recordFiles                                         []string // record files of the target's processes, the latest last
	node, target                                        *process
}

func (v *vm) name() string { return v.service + "-" + v.zone }

// site is a deployment of a platform and two VMs for each service.
type site struct {
	t            *testing.T
	dir          string
	platformAddr string
	platform     *process
	vms          []*vm
	http         *http.Client
	submits      int // number of submits started
}

// services lists the services in the order of their start, with the downstream call that their targets make per request.
var services = []struct{ name, call string }{
	{"royalty", ""},
	{"supply", "royalty/statements"},
	{"menu", "supply/status"},
	{"ordering", "supply/status"},
}

var zones = []string{"az1", "az2"}

// callSupplyOrders makes the targets of ordering call a route that must not be retried. The key of the call is bound in the
// platform's table. The call comes late in the order, so that some orders have not made it yet when a node or target begins
// to stop.
func callSupplyOrders(v *vm) {
	if v.service == "ordering" {
		v.call, v.mean = "POST:supply/orders", "200ms"
	}
}

// newSite starts a site and returns when all its nodes accept requests for all services. Each option changes the VMs before
// their start.
func newSite(t *testing.T, options ...func(v *vm)) *site {
	t.Helper()
	t.Parallel()
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
	s := &site{t: t, dir: t.TempDir(), http: &http.Client{Timeout: waitTimeout}}
	t.Cleanup(s.http.CloseIdleConnections)
	t.Cleanup(s.logWarnings)
	addresses := freeAddresses(t, 1+5*len(services)*len(zones))
	s.platformAddr = addresses[0]
	s.startPlatform()
	next := addresses[1:]
	for _, c := range services {
		for _, zone := range zones {
			v := &vm{
				site: s, service: c.name, zone: zone, call: c.call, mean: "10ms",
				caller: next[0], peer: next[1], targetInterface: next[2], admin: next[3], targetAddress: next[4],
			}
			next = next[5:]
			for _, option := range options {
				option(v)
			}
			v.settings = filepath.Join(s.dir, v.name()+".ini")
			require.NoError(t, os.WriteFile(v.settings, []byte(s.settings(v)), 0o644))
			s.vms = append(s.vms, v)
			v.startNode()
			v.startTarget()
		}
	}
	s.await("all members ready", func() bool { return s.allReady(s.vms) })
	code, out := s.submit(s.vms[0], "0", "first version", s.policyFiles("")...)
	require.Zero(t, code, out)
	for _, v := range s.vms {
		v.awaitReady()
	}
	return s
}

func (s *site) startPlatform() {
	s.t.Helper()
	s.platform = launch(s.t, s.dir, "platform", standinBinary, "platform", "--address", s.platformAddr)
	s.await("platform", func() bool { return s.get("http://"+s.platformAddr+"/-/counts", nil) })
}

// settings returns the settings of a VM's node. The first node is the seed peer of all others.
func (s *site) settings(v *vm) string {
	text := fmt.Sprintf("[node]\nsite = %s\nregion = local\navailability_zone = %s\ncaller_address = %s\npeer_address = %s\n"+
		"target_interface_address = %s\nadmin_address = %s\n[target]\nservice = %s\naddress = %s\n"+
		"[platform]\ntable_url = http://%s\nobjects_url = http://%s\n",
		siteName, v.zone, v.caller, v.peer, v.targetInterface, v.admin, v.service, v.targetAddress, s.platformAddr, s.platformAddr)
	if len(s.vms) > 0 {
		text += "[peers]\nseeds = " + s.vms[0].peer + "\n"
	}
	return text
}

func (v *vm) startNode() {
	v.site.t.Helper()
	v.node = launch(v.site.t, v.site.dir, v.name()+"-node", nodeBinary, "--settings", v.settings)
	v.site.await(v.name()+" healthy", func() bool { return v.site.get("http://"+v.admin+"/health", nil) })
}

func (v *vm) startTarget() {
	v.site.t.Helper()
	record := filepath.Join(v.site.dir, fmt.Sprintf("%s.%d.executions", v.name(), len(v.recordFiles)))
	v.recordFiles = append(v.recordFiles, record)
	args := []string{
		"target", "--listen", v.targetAddress, "--service", v.service, "--node", v.targetInterface, "--slots", "40",
		"--mean", v.mean, "--spread", "5ms", "--drain-grace", drainGrace,
		"--record", record,
	}
	if v.call != "" {
		args = append(args, "--call", v.call)
	}
	v.target = launch(v.site.t, v.site.dir, v.name()+"-target", standinBinary, args...)
}

func (v *vm) awaitReady() {
	v.site.t.Helper()
	v.site.await(v.name()+" ready", func() bool { return v.site.get("http://"+v.admin+"/ready", nil) })
}

// status returns the status of the VM's node, or false if the node does not respond.
func (v *vm) status() (node.Status, bool) {
	var st node.Status
	ok := v.site.get("http://"+v.admin+"/status", &st)
	return st, ok
}

// allReady reports whether the node of each of the VMs counts a ready target on every one of them.
func (s *site) allReady(vms []*vm) bool {
	want := map[string]int{}
	for _, v := range vms {
		want[v.service]++
	}
	for _, v := range vms {
		for service, n := range want {
			if !v.countsReady(service, n) {
				return false
			}
		}
	}
	return true
}

// countsReady reports whether the VM's node counts exactly that many ready targets of a service, the local one included.
func (v *vm) countsReady(service string, ready int) bool {
	st, ok := v.status()
	if !ok {
		return false
	}
	n := st.Members[service]["ready"] // of the other nodes
	if v.service == service && st.TargetReady {
		n++
	}
	return n == ready
}

// vm returns the VM of a service in a zone.
func (s *site) vm(service, zone string) *vm {
	s.t.Helper()
	for _, v := range s.vms {
		if v.service == service && v.zone == zone {
			return v
		}
	}
	require.Fail(s.t, "no such VM", "%s %s", service, zone)
	return nil
}

// vmsExcept returns all VMs except one.
func (s *site) vmsExcept(without *vm) []*vm {
	var others []*vm
	for _, v := range s.vms {
		if v != without {
			others = append(others, v)
		}
	}
	return others
}

// policyFiles writes the base file and the overlay, with an addition to the overlay, and returns the names of both files.
func (s *site) policyFiles(addition string) []string {
	s.t.Helper()
	dir, err := os.MkdirTemp(s.dir, "policy-")
	require.NoError(s.t, err)
	base, err := os.ReadFile(filepath.Join("..", "..", "examples", "base.ini"))
	require.NoError(s.t, err)
	overlay, err := os.ReadFile(filepath.Join("testdata", "overlay.ini"))
	require.NoError(s.t, err)
	names := []string{filepath.Join(dir, "base.ini"), filepath.Join(dir, siteName+".ini")}
	require.NoError(s.t, os.WriteFile(names[0], base, 0o644))
	require.NoError(s.t, os.WriteFile(names[1], append(overlay, "\n"+addition...), 0o644))
	return names
}

// submit submits policy files through a node with wigeonctl and returns the exit code and the output.
func (s *site) submit(at *vm, against, comment string, files ...string) (int, string) {
	args := append([]string{"submit", "--node", at.admin, "--against", against, "--author", "test", "--comment", comment}, files...)
	return s.runCtl(args...)
}

// runCtl runs wigeonctl and returns the exit code and the output.
func (s *site) runCtl(args ...string) (int, string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binDir, ctlBinary), args...)
	out, _ := cmd.CombinedOutput() // the exit code is read from ProcessState
	require.NotNil(s.t, cmd.ProcessState, "wigeonctl did not start")
	return cmd.ProcessState.ExitCode(), string(out)
}

// get reads JSON from a URL into v, which may be nil, and reports whether the status was 200.
func (s *site) get(url string, v any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second) // a paused process hangs; callers retry
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	return v == nil || json.Unmarshal(body, v) == nil
}

// await waits for a condition.
func (s *site) await(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			s.logStatus()
			require.Fail(s.t, "condition not met", what)
		}
	}
}

// logStatus logs the status that every node reports of itself and of the other members.
func (s *site) logStatus() {
	for _, v := range s.vms {
		st, ok := v.status()
		s.t.Logf("%s: responded %t, incarnation %d, version %d, confirmed %t, target ready %t, in flight %d, members %v",
			v.name(), ok, st.Incarnation, st.Version, st.Confirmed, st.TargetReady, st.Active, st.Members)
	}
}

// executions returns all executions at the VM's target, including those of killed processes.
func (v *vm) executions() []target.Execution {
	v.site.t.Helper()
	var all []target.Execution
	for _, name := range v.recordFiles {
		all = append(all, v.recordedExecutions(name)...)
	}
	return all
}

// recordedExecutions reads the record file of one process of the VM's target. The second line of a declined execution
// replaces its first.
func (v *vm) recordedExecutions(name string) []target.Execution {
	t := v.site.t
	t.Helper()
	body, err := os.ReadFile(name)
	require.NoError(t, err)
	var all []target.Execution
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		var e target.Execution
		require.NoError(t, json.Unmarshal(lines.Bytes(), &e), "%s: %q", name, lines.Text())
		if !e.Declined {
			all = append(all, e)
			continue
		}
		i := slices.IndexFunc(all, func(begun target.Execution) bool {
			return begun.RequestID == e.RequestID && begun.Start.Equal(e.Start) && begun.Path == e.Path
		})
		require.GreaterOrEqual(t, i, 0, "%s: %q was declined, but its begin is not recorded", name, lines.Text())
		all[i] = e
	}
	require.NoError(t, lines.Err())
	return all
}

// reportedExecutions returns the executions that a running target reports.
func (v *vm) reportedExecutions() (all []target.Execution, ok bool) {
	ok = v.site.get("http://"+v.targetAddress+"/-/executions", &all)
	return all, ok
}

// awaitIdle waits until no request is in flight at any running node or target.
func (s *site) awaitIdle() {
	s.t.Helper()
	s.await("no request in flight", func() bool {
		for _, v := range s.vms {
			if v.node.running() {
				if st, ok := v.status(); !ok || st.Active > 0 {
					return false
				}
			}
			if v.target.running() {
				all, ok := v.reportedExecutions()
				if !ok {
					return false
				}
				for _, e := range all {
					if e.End.IsZero() {
						return false
					}
				}
			}
		}
		return true
	})
}

// logWarnings logs the last warnings and errors of all processes if the test failed.
func (s *site) logWarnings() {
	if !s.t.Failed() {
		return
	}
	names, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	for _, name := range names {
		body, _ := os.ReadFile(name)
		var shown []string
		for line := range strings.Lines(string(body)) {
			if !strings.Contains(line, `"level":"INFO"`) {
				shown = append(shown, strings.TrimSpace(line))
			}
		}
		s.t.Logf("%s: %s", filepath.Base(name), strings.Join(shown[max(len(shown)-20, 0):], "\n  "))
	}
}

// freeAddresses returns addresses without a listener, on a random loopback IP address other than 127.0.0.1. Outgoing
// connections have the source 127.0.0.1, so none of them can take the port of a node that is stopped and started again.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), rand.IntN(256), 1+rand.IntN(250))
	all := make([]string, 0, count)
	for range count {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		require.NoError(t, err)
		defer l.Close()
		all = append(all, l.Addr().String())
	}
	return all
}
