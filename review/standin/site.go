package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeoncleat/wigeoncleat/platform"
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	portPeers     = 18300
	portBackend   = 18301
	portReadiness = 18302
	portClients   = 18304
	portControl   = 18306
	portStore     = 18309
	portMetrics   = 9464 // as the deploy file says
)

const (
	program = "target/wigeoncleat-sidecar" // as the deploy file says
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 300 * time.Millisecond
	// stableWindow, drainLimit and grace are stable_window_s, drain_s and grace_s of the site.
	stableWindow = 3 * time.Second
	drainLimit   = 2 * time.Second
	grace        = 6 * time.Second
	memoryMB     = 284
)

// site is a small deployment: the store and a few machines with a node and a backend each.
type site struct {
	rec      *record
	dir      string
	network  string // the first three numbers of all addresses
	store    *store
	machines []*machine
	routes   []route
	version  int
}

// route is a route of the configuration.
type route struct {
	prefix, service string
	idempotent      bool
	timeout         time.Duration
	priority        int
}

const host = "site.example"

func newSite(rec *record, routes ...route) (*site, error) {
	s := &site{rec: rec, store: newStore(), routes: routes}
	var err error
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	var l net.Listener
	for i := range 200 { // another case may run at the same time
		n := os.Getpid() + 251*i
		s.network = fmt.Sprintf("127.%d.%d", 16+n/250%200, 1+n%250)
		if l, err = net.Listen("tcp", fmt.Sprintf("%s.10:%d", s.network, portStore)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, s.store) }() // until the program ends
	return s, s.configure()
}

// configure writes the configuration as the operator does.
func (s *site) configure() error {
	s.version += 4
	var routes, services []any
	named := map[string]bool{}
	for i, r := range s.routes {
		kind := "non_idempotent"
		if r.idempotent {
			kind = "idempotent"
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r%d", i), "hostname": host, "prefix": r.prefix, "kind": kind, "timeout_s": r.timeout.Seconds(),
			"target_latency_s": 1.5, "priority": r.priority, "service": r.service, "max_attempts": 2,
		})
		if !named[r.service] {
			named[r.service] = true
			services = append(services, map[string]any{"name": r.service, "health_path": "/healthz", "max_connections": 316, "protocol": "h1", "tls": false})
		}
	}
	body, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", s.version), "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	s.store.put("op", "config", body)
	return err
}

// machine is one machine with its node and its backend.
type machine struct {
	site     *site
	name     string
	ip       string
	zone     string
	service  string
	settings string // path of the settings file

	backend     *backend   // the present one
	retired     []*backend // those before it
	incarnation int        // number of the present backend

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	started  time.Time // of the present process
	expected bool      // the case ends the process itself
	notReady int       // readiness checks in a row without a 200
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// add adds a machine with a backend, and starts both.
func (s *site) add(zone, service string, slots int, work time.Duration, header http.Header) (*machine, error) {
	n := len(s.machines) + 1
	m := &machine{
		site: s, name: fmt.Sprintf("m%d", n), ip: fmt.Sprintf("%s.%d", s.network, 10+n), zone: zone, service: service,
		settings: filepath.Join(s.dir, fmt.Sprintf("m%d.toml", n)),
	}
	s.machines = append(s.machines, m)
	text := fmt.Sprintf(`[self]
node_name = %q
role = "sidecar"
machine_class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "r"
in_failure_budget = false
bootstrap = true
app_address = %q
service = %q
[self.limits]
cpu_share = 0.64
cpu_cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
port_range = [7620, 7635]
seeds = []
[network.listen]
inbound = %q
outbound = %q
readiness_address = %q
control = %q
[platform]
heartbeat_s = 1.5
[platform.platform]
address = "%s.10:%d"
[terms.bounds]
stable_window_s = 3
drain_s = 2
grace_s = 6
loss_slack_s = 0.2
config_s = 2
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 48
`, m.name, m.ip, zone, m.at(portBackend), service, memoryMB, m.at(portPeers), m.at(portClients), m.at(portReadiness), m.at(portControl),
		s.network, portStore)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	m.incarnation = 1
	m.backend = &backend{machine: m, instance: fmt.Sprintf("i-%s-1", m.name), service: service, slots: slots, work: work, header: header}
	if err := m.backend.start(); err != nil {
		return nil, err
	}
	go m.probe()
	return m, m.start()
}

// start starts the node with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(program)
	m.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+m.settings)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.started, m.exited, m.expected = time.Now(), make(chan struct{}), false
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		m.mu.Lock()
		expected := m.expected
		m.mu.Unlock()
		m.site.rec.line("%s: the node's process has ended (%v), asked to: %v", m.name, err, expected)
		close(exited)
	}(m.cmd, m.exited)
	m.site.rec.line("%s: the node is started", m.name)
	return nil
}

// signal sends a signal that ends the node and returns the channel that is closed when it has ended.
func (m *machine) signal(sig syscall.Signal) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expected = true
	m.site.rec.line("%s: the node gets %v", m.name, sig)
	_ = m.cmd.Process.Signal(sig)
	return m.exited
}

// killAll kills all nodes at once and starts them again.
func (s *site) killAll() error {
	var exits []<-chan struct{}
	for _, m := range s.machines {
		exits = append(exits, m.signal(syscall.SIGKILL))
	}
	for _, e := range exits {
		<-e
	}
	time.Sleep(restartDelay)
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// upSince returns when the present process was started.
func (m *machine) upSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.started
}

// probe checks the node's readiness once a second, as the platform does.
func (m *machine) probe() {
	client := http.Client{Timeout: time.Second}
	for {
		ok := false
		if resp, err := client.Get("http://" + m.at(portReadiness) + words.Ready); err == nil {
			ok = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
		m.mu.Lock()
		if ok {
			m.notReady = 0
		} else {
			m.notReady++
		}
		m.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// restartBackend starts the backend of the machine again after it has exited. It is a new incarnation with a new id.
func (m *machine) restartBackend() error {
	m.mu.Lock()
	old := m.backend
	m.incarnation++
	m.retired = append(m.retired, old)
	m.backend = &backend{
		machine: m, instance: fmt.Sprintf("i-%s-%d", m.name, m.incarnation), service: old.service, slots: old.slots, work: old.work, header: old.header,
	}
	next := m.backend
	m.mu.Unlock()
	return next.start()
}

// takesClients reports whether the platform lets clients of this machine send new work: not after two misses, unless fewer than half
// of the nodes of the zone are in.
func (m *machine) takesClients() bool {
	in, all := 0, 0
	for _, o := range m.site.machines {
		if o.zone != m.zone {
			continue
		}
		all++
		o.mu.Lock()
		if o.notReady < 2 {
			in++
		}
		o.mu.Unlock()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.notReady < 2 || 2*in < all
}

// ran reports whether a backend has begun to run a request.
func (s *site) ran(attempt string) bool {
	for _, m := range s.machines {
		m.mu.Lock()
		backends := append(slices.Clone(m.retired), m.backend)
		m.mu.Unlock()
		for _, b := range backends {
			for _, r := range b.runsSoFar() {
				if r.attempt == attempt {
					return true
				}
			}
		}
	}
	return false
}

// memory returns the memory of the node's process in bytes, without the pages of its program file, or zero if it has ended.
func (m *machine) memory() int64 {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kB int64
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kB); err == nil {
			return kB << 10
		}
	}
	return 0
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, m := range s.machines {
		if m.cmd == nil {
			continue
		}
		<-m.signal(syscall.SIGKILL)
		m.backend.exit()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// awaitServing waits until each node serves each route.
func (s *site) awaitServing(ctx context.Context) error {
	for _, m := range s.machines {
		for i, r := range s.routes {
			for n := 0; ; n++ {
				a := send(m, request{attempt: fmt.Sprintf("begin-%s-%d-%d", m.name, i, n), path: r.prefix + "first", timeLeft: 2 * time.Second})
				if a.status == http.StatusOK {
					break
				}
				select {
				case <-ctx.Done():
					return fmt.Errorf("%s does not serve %s: %v", m.name, r.prefix, a)
				case <-time.After(100 * time.Millisecond):
				}
			}
		}
	}
	s.rec.line("all nodes serve all routes")
	return nil
}
