package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names and limits of the deployment.
const (
	service     = "numbering-svc"
	queueHost   = "nony24.example"
	prefix      = "/lohu930/"
	key         = "k-0123456789abcdef"
	recordBytes = 262_144
	callBytes   = 2_097_152
	memoryMb    = 284
)

// play is one run of a script: the platform, the executors, the clients and the hosts.
type play struct {
	began   time.Time
	dir     string // for settings and logs of the hosts
	store   *store
	workers []*executor
	hosts   []*host
	client  *http.Client
	logs    string // directory for the hosts' output; empty if it is dropped

	mu      sync.Mutex
	out     *os.File
	onStart func(x *executor, task string, run int, spec string)
	starts  []startSeen
}

type startSeen struct {
	task string
	run  int
	spec string
	at   time.Time
}

// host is one entry host.
type host struct {
	name, ip, settings string
	front, ready       string
	cmd                *exec.Cmd
	exited             chan struct{}
}

func newPlay(record string, executors, hosts int) (*play, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "play")
	if err != nil {
		return nil, err
	}
	p := &play{began: time.Now(), dir: dir, out: out, logs: os.Getenv("LOGS"), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	if p.store, err = newStore(); err != nil {
		return nil, err
	}
	p.configure(3, "r-cpihhac")
	for i := range executors {
		x, err := p.newExecutor(i)
		if err != nil {
			return nil, err
		}
		p.workers = append(p.workers, x)
	}
	for i := range hosts {
		if err := p.addHost(i); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%8.3f s  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// configure writes a version of the configuration as the operator does. Its route has the
// given name.
func (p *play) configure(version int, route string) {
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": route, "host": queueHost, "pathPrefix": prefix, "service": service, "priority": 1, "maxAttempts": 4,
			"slackFactor": 2.2, "targetLatencyMs": 1000, "timeoutMs": 3000,
		}},
		"services": []any{map[string]any{"name": service, "rejectsOverload": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144, "maxHeaderBytes": 65536},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": []string{key}, "weight": 100, "maximum": map[string]any{"cpu": 0, "taskMemoryMb": 0, "gpu": 0}}},
	})
	p.store.put("keyed.op", "config", b)
}

// freePort returns a port that is free on an address, with the two after it.
func freePort(ip string) (int, error) {
	for range 50 {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := ln.Addr().(*net.TCPAddr).Port
		ln.Close()
		if port < 60_000 {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port on %s", ip)
}

var peerPort int // the same on all hosts

func (p *play) addHost(i int) error {
	h := &host{name: fmt.Sprintf("frontend-duluth-%d", i+1), ip: fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, 11+i)}
	if peerPort == 0 {
		port, err := freePort(h.ip)
		if err != nil {
			return err
		}
		peerPort = port
	}
	var ports [2]int
	for k := range ports {
		port, err := freePort(h.ip)
		if err != nil {
			return err
		}
		ports[k] = port
	}
	h.front, h.ready = fmt.Sprintf("%s:%d", h.ip, ports[0]), fmt.Sprintf("%s:%d", h.ip, ports[1])
	h.settings = filepath.Join(p.dir, h.name+".toml")
	text := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = %q
zone = "duluth"
region = "lakes-central"
internalPorts = [%d,%d]
seeds = []
isFirstStart = true
discovery = "platform"
heartbeatMs = 1500
orders = "call"
[listen]
frontend = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
fileDescriptors = 4200
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
holdMaxMs = 10000
stopMs = 900
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
leaseMs = 3000
[platform]
address = %q
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 8
appendMs = 4.0
recordBytes = %d
callBytes = %d
keep_s = 300
`, h.name, h.ip, peerPort, peerPort+15, h.front, h.ready, memoryMb, p.store.addr, recordBytes, callBytes)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return err
	}
	p.hosts = append(p.hosts, h)
	return p.start(h)
}

// start starts the process of a host with the command of the deploy file.
func (p *play) start(h *host) error {
	h.cmd = exec.Command("target/lagooncourse", "serve", "--metrics", strconv.Itoa(peerPort+1))
	h.cmd.Env = append(os.Environ(), "LAGOONCOURSE_BOOT="+h.settings)
	if p.logs != "" {
		f, err := os.OpenFile(filepath.Join(p.logs, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		h.cmd.Stdout, h.cmd.Stderr = f, f
	}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); close(done) }(h.cmd, h.exited)
	return nil
}

// close ends all processes and removes the folder.
func (p *play) close() {
	for _, h := range p.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
			<-h.exited
		}
	}
	_ = os.RemoveAll(p.dir)
	_ = p.out.Close()
}

// awaitReady waits until all hosts are ready.
func (p *play) awaitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, h := range p.hosts {
			if r, err := p.client.Get("http://" + h.ready + "/ready"); err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(p.hosts) {
			return true
		}
	}
	return false
}

// call sends a client's call to a host. The status is 0 without an answer.
func (p *play) call(h *host, method, id string, body any, timeout time.Duration) (status int, text string) {
	var rd io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		rd = bytes.NewReader(b)
	}
	r, err := http.NewRequest(method, "http://"+h.front+prefix+id, rd)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Lagooncourse-Deadline-Ms", strconv.Itoa(int(timeout.Milliseconds())))
	c := *p.client
	c.Timeout = timeout
	resp, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(b))
}

// submit hands a job in, with the retries of a client, and reports whether it was accepted.
func (p *play) submit(id string, job any) bool {
	for try := range 5 {
		h := p.hosts[try%len(p.hosts)]
		status, text := p.call(h, http.MethodPost, id, job, 3*time.Second)
		p.note("client: POST %s at %s: %d %s", id, h.name, status, text)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state at each host in turn until one answers.
func (p *play) state(id string) (status int, state string) {
	for _, h := range p.hosts {
		var text string
		if status, text = p.call(h, http.MethodGet, id, nil, 3*time.Second); status == http.StatusOK || status == http.StatusGone {
			var v struct{ State string }
			_ = json.Unmarshal([]byte(text), &v)
			return status, v.State
		}
	}
	return status, ""
}

func (p *play) started(x *executor, o order) {
	p.note("executor %s: start of %s run %d, spec %q", x.id, o.Task, o.Run, o.Spec)
	p.mu.Lock()
	p.starts = append(p.starts, startSeen{o.Task, o.Run, o.Spec, time.Now()})
	f := p.onStart
	p.mu.Unlock()
	if f != nil {
		go f(x, o.Task, o.Run, o.Spec)
	}
}

func (p *play) ended(x *executor, r *run, how string) {
	p.note("executor %s: end of %s run %d: %s", x.id, r.task, r.run, how)
}

// runningOn returns the executors that run a task.
func (p *play) runningOn(task string) (list []string) {
	for _, x := range p.workers {
		x.mu.Lock()
		if x.running[task] != nil {
			list = append(list, x.id)
		}
		x.mu.Unlock()
	}
	return list
}

// rssMb returns the resident memory of a host's process, in MiB.
func (h *host) rssMb() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(v)[0])
			return n >> 10
		}
	}
	return 0
}
