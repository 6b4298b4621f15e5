package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"dahliawinch/platform/stand"
)

const (
	service   = "desk"
	queueHost = "desk.example"
	// leadTime is the time from the start of the machines to the start of traffic.
	leadTime = 10 * time.Second
)

// queues are the path prefixes of the queues, by priority.
var queues = []string{"/q0/", "/q1/", "/q2/"}

// deployConfig describes a small deployment.
type deployConfig struct {
	zones   int      // with one entry VM each
	workers int      // in each zone
	kinds   []string // of the workers, by turns
	cpu     int      // thousandths of a core of a worker
}

// machine is an entry VM whose daemon is a process of its own.
type machine struct {
	zone   string
	caller string
	ready  string
	cmd    *exec.Cmd
	log    *os.File
}

// deployment is a running deployment: daemons, and stand-ins of the store and the workers.
type deployment struct {
	rec      *record
	world    *world
	store    *stand.Store
	workers  []*worker
	machines []*machine
	dir      string
	done     chan struct{}
	stopOnce sync.Once
}

// startDeployment starts a deployment and returns at the start of traffic.
func startDeployment(c deployConfig, rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("start deployment: %w", err)
	}
	d := &deployment{rec: rec, world: newWorld(rec), store: stand.NewStore(), dir: dir, done: make(chan struct{})}
	go d.stopOnSignal()
	if err := d.start(c); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(c deployConfig) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	go fasthttp.Serve(l, d.store.Handle) //nolint:errcheck // it ends with this process
	d.store.Put(stand.Operator, "config", stand.Config(1, queueHost, service, queues...))
	for i := range c.zones * c.workers {
		k := newWorker(d.world, fmt.Sprintf("worker%02d", i), zoneName(i/c.workers), c.kinds[i%len(c.kinds)], c.cpu)
		if err := k.boot(k.kind); err != nil {
			return err
		}
		d.workers = append(d.workers, k)
		go d.report(k)
	}
	port, err := freePorts(c.zones)
	if err != nil {
		return err
	}
	for i := range c.zones {
		if err := d.startMachine(i, c.zones, port, l.Addr().String()); err != nil {
			return err
		}
	}
	time.Sleep(leadTime)
	for _, m := range d.machines {
		resp, err := http.Get("http://" + m.ready + "/v1/readyz")
		if err != nil {
			return fmt.Errorf("machine is not up: %w", err)
		}
		if err := resp.Body.Close(); err != nil || resp.StatusCode != http.StatusOK {
			return fmt.Errorf("machine of %s is not ready: %w", m.zone, errNotReady)
		}
	}
	d.rec.add("traffic begins")
	return nil
}

var errNotReady = errors.New("it does not answer 200 in time")

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

// report writes a worker's reports to the store until the deployment stops.
func (d *deployment) report(k *worker) {
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		if text := k.entry(); text != nil {
			d.store.Put(stand.Workers, k.id, text)
		}
		select {
		case <-t.C:
		case <-d.done:
			return
		}
	}
}

// portsPerMachine is the number of ports of one machine; they are the same on all machines.
const portsPerMachine = 4

func machineIP(i int) string { return fmt.Sprintf("127.0.7.%d", i+1) }

// freePorts returns the first of portsPerMachine successive ports that are free on all machines.
func freePorts(machines int) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", machineIP(0)+":0")
		if err != nil {
			return 0, fmt.Errorf("find ports: %w", err)
		}
		first := l.Addr().(*net.TCPAddr).Port
		if err := l.Close(); err != nil {
			return 0, fmt.Errorf("find ports: %w", err)
		}
		if portsFree(machines, first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("find ports: %w", errNotReady)
}

func portsFree(machines, first int) bool {
	for i := range machines {
		for p := range portsPerMachine {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machineIP(i), first+p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// startMachine starts one daemon with the command of the deploy file.
func (d *deployment) startMachine(i, zones, port int, store string) error {
	at := func(n int) string { return fmt.Sprintf("%s:%d", machineIP(i), port+n) }
	var seeds []string
	for n := range min(3, zones) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", machineIP(n), port))
	}
	m := &machine{zone: zoneName(i), caller: at(1), ready: at(2)}
	text, err := json.Marshal(map[string]any{
		"name": "frontend-" + m.zone, "domain": m.zone, "caller": m.caller, "ready": m.ready, "mesh": at(0), "metrics": at(3), "store": store, "seeds": strings.Join(seeds, ","),
		"hold": "1000ms", "stop": "50ms", "resend": "1300ms", "grace": "6s", "far": 2, "link": 1000, "speeds": true, "split": true, "demand": true, "cores": 0.4, "memory": 284,
	})
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	path := filepath.Join(d.dir, m.zone+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if m.log, err = os.Create(filepath.Join(d.dir, m.zone+".log")); err != nil {
		return fmt.Errorf("log of a daemon: %w", err)
	}
	m.cmd = exec.Command("target/dahliawinchd")
	m.cmd.Env = []string{"DAHLIAWINCH_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	if err := m.cmd.Start(); err != nil {
		return fmt.Errorf("start daemon: %w", err)
	}
	d.machines = append(d.machines, m)
	return nil
}

// stopOnSignal ends all processes when this one is told to end.
func (d *deployment) stopOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	<-c
	d.stop()
	os.Exit(exitUnable)
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (d *deployment) stop() { d.stopOnce.Do(d.stopNow) }

func (d *deployment) stopNow() {
	close(d.done)
	for _, m := range d.machines {
		_ = m.cmd.Process.Kill()
		_ = m.cmd.Wait()
		_ = m.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs of the daemons:", d.dir)
	}
}
