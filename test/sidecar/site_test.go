// Package sidecar runs the real process beside fake targets, with faults from outside. Loopback addresses stand for VMs.
package sidecar

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/platform"
	"github.com/wigeoncleat/wigeoncleat/platform/standin"
)

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "sidecar")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "wigeoncleat-sidecar")
	build := exec.Command("go", "build", "-o", binary, "github.com/wigeoncleat/wigeoncleat/cmd/wigeoncleat-sidecar")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Ports of a VM. Each VM has a loopback address of its own.
const (
	portPeers     = 18300
	portTarget    = 18301
	portReadiness = 18302
	portCallers   = 18304
	portReports   = 18306
	portStore     = 18309
	portProxy     = 18311
	portListen    = 18313 // of the node, behind the proxy at portPeers
)

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// vm is a VM with its node, its target, and proxies between the two and between other nodes and its node.
type vm struct {
	t       *testing.T
	ip      string
	service string
	file    string
	log     *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool // by the test
	target  *standin.Target
	past    []*standin.Target
	proxy   *standin.Proxy // to the target
	peers   *standin.Proxy // to the node, for other nodes
}

// site is a whole deployment on loopback.
type site struct {
	t          *testing.T
	store      *standin.Store
	storeProxy *standin.Proxy
	vms        []*vm
	version    uint64
}

// network is a loopback network of this process, so that two runs on one machine do not meet.
var network = fmt.Sprintf("127.%d.%d", 16+os.Getpid()/250%200, 1+os.Getpid()%250)

var storeIP = network + ".10"

func newSite(t *testing.T, vms int) *site {
	t.Helper()
	s := &site{t: t, store: standin.NewStore()}
	l := listen(t, at(storeIP, portStore))
	srv := &http.Server{Handler: s.store}
	go func() { _ = srv.Serve(l) }() // ends with Close
	s.storeProxy = standin.NewProxy(listen(t, at(storeIP, portProxy)), at(storeIP, portStore))
	t.Cleanup(func() {
		s.storeProxy.Close()
		_ = srv.Close()
	})
	s.configure()
	services := []string{"menu", "profile"}
	for i := range vms {
		v := &vm{t: t, ip: fmt.Sprintf("%s.%d", network, 11+i), service: services[i%len(services)]}
		v.prepare(fmt.Sprintf("z%d", i/len(services)%2))
		s.vms = append(s.vms, v)
		t.Cleanup(v.close)
	}
	for _, v := range s.vms {
		v.startTarget()
		v.startNode()
	}
	s.awaitCalm()
	return s
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	var l net.Listener
	require.Eventually(t, func() bool {
		var err error
		l, err = net.Listen("tcp", address)
		return err == nil
	}, 5*time.Second, 20*time.Millisecond, "listen at %s", address)
	return l
}

// configure writes the next configuration. Every version has a route of its own name.
func (s *site) configure() {
	s.version += 4
	route := func(name, host, prefix, kind, service string, priority int) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "prefix": prefix, "kind": kind, "timeout_s": 2.0, "target_latency_s": 1.0,
			"priority": priority, "service": service, "max_attempts": 2,
		}
	}
	body, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", s.version),
		"routes": []any{
			route("order", "site.example", "/order/", "non_idempotent", "menu", 0),
			route("menu", "site.example", "/menu/", "idempotent", "menu", 2),
			route("latest", "site.example", fmt.Sprintf("/v%d/", s.version), "idempotent", "menu", 2),
			route("profile", "calls.example", "/profile/", "idempotent", "profile", 2),
		},
		"services": []any{
			map[string]any{"name": "menu", "max_connections": 100}, map[string]any{"name": "profile", "max_connections": 100},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	require.NoError(s.t, err)
	s.store.Put("op", platform.ConfigKey, body)
}

func (v *vm) prepare(zone string) {
	dir := v.t.TempDir()
	v.file = filepath.Join(dir, "settings.toml")
	text := fmt.Sprintf(`[self]
node_name = %q
ip = %q
zone = %q
app_address = %q
service = %q
[self.limits]
memory_mb = 284
max_fds = 4100
[network.listen]
inbound = %q
outbound = %q
readiness_address = %q
control = %q
[platform.platform]
address = %q
[terms.bounds]
grace_s = 6
retry_slack = 48
retry_budget_ratio = 0.2
budget_window_s = 10
`, v.ip, v.ip, zone, at(v.ip, portProxy), v.service, at(v.ip, portPeers), at(v.ip, portCallers),
		at(v.ip, portReadiness), at(v.ip, portReports), at(storeIP, portProxy))
	require.NoError(v.t, os.WriteFile(v.file, []byte(text), 0o600))
	var err error
	v.log, err = os.Create(filepath.Join(dir, "log"))
	require.NoError(v.t, err)
	v.proxy = standin.NewProxy(listen(v.t, at(v.ip, portProxy)), at(v.ip, portTarget))
	v.peers = standin.NewProxy(listen(v.t, at(v.ip, portPeers)), at(v.ip, portListen))
}

func (v *vm) startTarget() {
	target := &standin.Target{Service: v.service, Slots: 20, Work: 10 * time.Millisecond}
	if v.service == "menu" {
		target.Calls = []string{"/profile/a", "/profile/b"}
	}
	target.Start(listen(v.t, at(v.ip, portTarget)), at(v.ip, portProxy), at(v.ip, portReports), at(v.ip, portCallers))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target = target
}

func (v *vm) stopTarget() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target.Stop()
	v.past = append(v.past, v.target)
}

func (v *vm) startNode() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd = exec.Command(binary, "--peer-listen", at(v.ip, portListen))
	v.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+v.file)
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	require.NoError(v.t, v.cmd.Start())
	v.exited, v.stopped = make(chan struct{}), false
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		v.mu.Lock()
		defer v.mu.Unlock()
		if !v.stopped {
			v.t.Errorf("node %s ended by itself: %v", v.ip, err)
		}
		close(exited)
	}(v.cmd, v.exited)
}

// signal sends a signal to the node, which the test expects to end if last is set.
func (v *vm) signal(sig syscall.Signal, last bool) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopped = v.stopped || last
	_ = v.cmd.Process.Signal(sig) // a process that has ended shows in exited
	return v.exited
}

func (v *vm) close() {
	<-v.signal(syscall.SIGKILL, true)
	v.stopTarget()
	v.proxy.Close()
	v.peers.Close()
	if v.t.Failed() {
		if text, err := os.ReadFile(v.log.Name()); err == nil {
			v.t.Logf("log of %s:\n%s", v.ip, text[max(0, len(text)-8<<10):])
		}
	}
	_ = v.log.Close()
}

// awaitCalm waits until every node serves the newest route and whole chains.
func (s *site) awaitCalm() {
	s.t.Helper()
	for _, v := range s.vms {
		require.Eventually(s.t, func() bool {
			for i := range 5 {
				if r := ask(v.ip, fmt.Sprintf("calm-%s-%d-%d", v.ip, time.Now().UnixNano(), i), fmt.Sprintf("/v%d/x", s.version), ""); r.Status != 200 {
					return false
				}
			}
			return true
		}, 15*time.Second, 100*time.Millisecond, "node %s does not serve the newest route", v.ip)
	}
}

// result is what a caller has seen.
type result struct {
	standin.Result
	attempt string
	order   bool
}

var callers = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// patience is what callers state that they wait.
const patience = 3 * time.Second

// ask sends a request to the node of a VM. With a body it is an order.
func ask(ip, attempt, path, body string) result {
	return result{standin.Send(callers, at(ip, portCallers), "site.example", attempt, path, body, patience), attempt, body != ""}
}

// memory returns the memory that the node's process has resident, in bytes.
func (v *vm) memory() int64 {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0 // it has ended
	}
	var total, resident int64
	_, err = fmt.Sscan(string(text), &total, &resident)
	require.NoError(v.t, err)
	return resident * int64(os.Getpagesize())
}
