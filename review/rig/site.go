package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"dahliawinch/platform/stand"
)

const (
	service = "desk"
	host    = "desk.example"
	daemon  = "target/dahliawinchd"
	// contact is the bound contact_ms, cancelWithin is cancel_ms.
	contact      = 3 * time.Second
	cancelWithin = 3 * time.Second
	// resendAfter is resend_ms.
	resendAfter = 1300 * time.Millisecond
	// startup is how long the machines run before the traffic starts.
	startup = 6 * time.Second
	// readyTries is how many seconds more a machine may take on a busy host.
	readyTries = 15
)

// route is a queue of the configuration.
type route struct {
	prefix   string
	priority int
}

// site is a small deployment: four zones of two daemons each, a store and workers.
type site struct {
	rec   *record
	world *world
	store *stand.Store
	dir   string
	net   int // second byte of the machines' addresses, so that cases played at once don't meet
	vms   []*vm
	fleet []*worker
	stops []func()
	done  chan struct{}
}

// vm is a machine with its daemon.
type vm struct {
	name, zone, ip string
	caller, ready  string
	settings       string
	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
	log            *os.File
}

var zones = []string{"za", "zb", "zc", "zd"}

// newSite starts the store and two daemons in each zone.
func newSite(rec *record) (*site, error) {
	if _, err := os.Stat(daemon); err != nil {
		return nil, fmt.Errorf("the build of the deploy file comes first: %w", err)
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	s := &site{rec: rec, world: newWorld(rec), store: stand.NewStore(), dir: dir, net: 64 + os.Getpid()%128, done: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	srv := &fasthttp.Server{Handler: s.store.Handle, CloseOnShutdown: true}
	go func() { _ = srv.Serve(l) }()
	s.stops = append(s.stops, func() { _ = l.Close() })
	for i, z := range zones {
		for k := range 2 {
			s.vms = append(s.vms, &vm{name: fmt.Sprintf("vm-%s-%d", z, k+1), zone: z, ip: fmt.Sprintf("127.%d.%d.%d", s.net, i+1, k+1)})
		}
	}
	ports, err := s.freePorts(4)
	if err != nil {
		return nil, err
	}
	for _, v := range s.vms {
		if err := s.write(v, ports, l.Addr().String()); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// portTries is how many ports are tried for each that is needed.
const portTries = 50

// freePorts returns ports that are free on the addresses of all machines.
func (s *site) freePorts(n int) (ports []int, err error) {
	for try := 0; len(ports) < n; try++ {
		if try == n*portTries {
			return nil, errors.New("no ports are free on all machines' addresses")
		}
		l, err := net.Listen("tcp", s.vms[0].ip+":0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close() //nolint:errcheck // it only held the port
		port := l.Addr().(*net.TCPAddr).Port
		if s.isFree(port) {
			ports = append(ports, port)
		}
	}
	return ports, nil
}

// isFree reports whether a port is free on the addresses of all machines but the first.
func (s *site) isFree(port int) bool {
	for _, v := range s.vms[1:] {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", v.ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// write writes the settings of a machine, as the deploy file's template gives them at a small site.
func (s *site) write(v *vm, ports []int, store string) error {
	at := func(i int) string { return fmt.Sprintf("%s:%d", v.ip, ports[i]) }
	v.caller, v.ready = at(0), at(1)
	text, err := json.Marshal(map[string]any{
		"name": v.name, "domain": v.zone, "caller": at(0), "ready": at(1), "mesh": at(2), "metrics": at(3), "store": store,
		"seeds": fmt.Sprintf("127.%[1]d.1.1:%[2]d,127.%[1]d.2.1:%[2]d,127.%[1]d.3.1:%[2]d", s.net, ports[2]),
		"hold":  "1000ms", "stop": "50ms", "resend": "1300ms", "grace": "6s", "far": 2, "link": 1000,
		"speeds": true, "split": true, "demand": true, "cores": 0.4, "memory": 284,
	})
	if err != nil {
		return fmt.Errorf("settings of %s: %w", v.name, err)
	}
	v.settings = filepath.Join(s.dir, v.name+".json")
	if err := os.WriteFile(v.settings, text, 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", v.name, err)
	}
	if v.log, err = os.Create(filepath.Join(s.dir, v.name+".log")); err != nil {
		return fmt.Errorf("log of %s: %w", v.name, err)
	}
	return nil
}

// configure writes the operator's configuration.
func (s *site) configure(version int, routes ...route) {
	rs := []map[string]any{}
	for i, r := range routes {
		rs = append(rs, map[string]any{
			"name": "r-" + itoa(i), "host": host, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 30000, "target_latency_ms": 3000,
			"priority": r.priority, "service": service, "max_attempts": 3, "slack_factor": 3,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": rs,
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_control": true, "standby": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // plain values
	}
	s.store.Put(stand.Operator, "config", text)
	s.rec.add("operator: version %d is in the store", version)
}

// addWorker starts a worker that reports itself to the store.
func (s *site) addWorker(id, zone string, cpu int) error {
	w, err := s.world.newWorker(id, zone, cpu)
	if err != nil {
		return err
	}
	s.fleet = append(s.fleet, w)
	s.rec.add("worker %s at %s in %s, %d cores", w.id, w.addr, w.zone, w.cpu/1000)
	s.store.Put(stand.Workers, w.id, w.entry())
	go func() {
		t := time.NewTicker(reportGap)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				if !w.down.Load() {
					s.store.Put(stand.Workers, w.id, w.entry())
				}
			case <-s.done:
				return
			}
		}
	}()
	return nil
}

// run starts all daemons and waits until each is ready and the machines have run for a while.
func (s *site) run() error {
	for _, v := range s.vms {
		if err := s.startVM(v); err != nil {
			return err
		}
	}
	time.Sleep(startup)
	for _, v := range s.vms {
		for n := 0; !v.isReady(); n++ {
			if n == readyTries {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(time.Second)
		}
	}
	s.rec.add("all machines are ready")
	return nil
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + v.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *site) startVM(v *vm) error {
	cmd := exec.Command(daemon)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "DAHLIAWINCH_SETTINGS=" + v.settings}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.exited = cmd, exited
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait() // its status after a signal means nothing
		close(exited)
	}()
	return nil
}

func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(sig)
	}
}

// kill kills a daemon's process and waits for its end.
func (s *site) kill(v *vm) {
	v.signal(syscall.SIGKILL)
	<-v.exited
	s.rec.add("%s: SIGKILL", v.name)
}

func (s *site) close() {
	close(s.done)
	for _, v := range s.vms {
		if v.cmd != nil {
			v.signal(syscall.SIGKILL)
			<-v.exited
		}
		_ = v.log.Close()
	}
	for _, stop := range s.stops {
		stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
		return
	}
	fmt.Println("logs in", s.dir)
}

// answer is what a client gets: a status, or an error if the channel broke.
type answer struct {
	status int
	state  string
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, bytes.TrimSpace([]byte(a.body)))
}

// jobBody is the body of a POST.
func jobBody(spec string, steps []taskDef) []byte {
	type step struct {
		Count    int   `json:"count"`
		CPU      int   `json:"cpu"`
		Estimate int64 `json:"estimate_ms"`
		After    []int `json:"after,omitempty"`
		Gang     bool  `json:"gang,omitempty"`
	}
	all := []step{}
	for _, d := range steps {
		all = append(all, step{d.Count, d.CPU, d.Run.Milliseconds(), d.After, d.Gang})
	}
	text, err := json.Marshal(map[string]any{"spec": spec, "best_effort": true, "steps": all})
	if err != nil {
		panic(err) // plain values
	}
	return text
}

// call makes one request on a new channel.
func (s *site) call(method, addr, path string, body []byte, patience time.Duration) answer {
	t := &http.Transport{DisableKeepAlives: true}
	c := http.Client{Transport: t, Timeout: patience}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Dahliawinch-Deadline-Ms", itoa(int(patience.Milliseconds())))
	resp, err := c.Do(req)
	if err != nil {
		return answer{err: errors.Unwrap(err)}
	}
	defer resp.Body.Close() //nolint:errcheck // it was read
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(text, &b) // a refusal has no state
	return answer{status: resp.StatusCode, state: b.State, body: string(text)}
}

// submit makes one attempt to hand in a job and waits for its result.
func (s *site) submit(addr, prefix, id string, steps []taskDef, patience time.Duration) answer {
	s.world.addJob(id, steps)
	s.rec.add("client: POST %s%s to %s", prefix, id, addr)
	a := s.call(http.MethodPost, addr, prefix+id, jobBody("review", steps), patience)
	s.rec.add("client: POST %s%s -> %s", prefix, id, a)
	return a
}

// jobID returns the n-th ID of a kind of job.
func jobID(kind, n int) string { return fmt.Sprintf("%08x%08x", 0xa0000000+kind, n) }
