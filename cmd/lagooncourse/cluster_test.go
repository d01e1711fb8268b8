package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/tool/caller"
	"lagooncourse/internal/tool/cmds"
)

// roleEnv makes the test binary run as lagooncourse, so that every role is a
// separate process built with the same flags as the tests.
const roleEnv = "LAGOONCOURSE_TEST_ROLE"

func TestMain(m *testing.M) {
	if os.Getenv(roleEnv) != "" {
		os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// pollTimeout limits the wait for a condition.
const pollTimeout = 60 * time.Second

// cluster is a cell of separate processes on the loopback address.
type cluster struct {
	t     *testing.T
	dir   string
	log   string // base URLs of the stand-ins
	fleet string
	execs string
	hosts []*hostProc
	procs []*exec.Cmd
	proxy *proxy // between the first entry host and the log

	program string // of the processes
}

// hostProc is an entry host process.
type hostProc struct {
	id, api, peer, path string
	cmd                 *exec.Cmd
}

// clusterConfig describes a cluster.
type clusterConfig struct {
	hosts     int
	workers   int
	executors int
	workMs    int
	retention string
	lease     string // of workers; "2s" by default
	program   string // of the processes; the test binary if empty
	limits    string // section of the entry hosts' settings; none if empty
}

var azs = []string{"a", "b", "c"}

// The ports of the roles lie below the system's ephemeral port range, so that no
// other listener or connection takes a port between its selection and its use. Each test
// process has a block of them, whose first port it keeps in use.
const (
	firstPort  = 10_000
	portRange  = 20_000
	portBlock  = 400
	maxHostsIP = 16 // last byte of the highest loopback address that hosts listen on
)

// ports is the block of this process.
var ports struct {
	once  sync.Once
	guard net.Listener
	first int
	next  int // offset in the block
}

// takeBlock finds a block that no other test process has.
func takeBlock() {
	blocks := portRange / portBlock
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*portBlock
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			ports.guard, ports.first = ln, first
			return
		}
	}
}

// freeAddr returns a loopback address with a port that is free on all addresses that hosts
// listen on.
func freeAddr(t *testing.T) string {
	t.Helper()
	ports.once.Do(takeBlock)
	assert.Assert(t, ports.guard != nil, "no block of ports is free")
	for range portBlock {
		ports.next = ports.next%(portBlock-1) + 1
		if port := ports.first + ports.next; portIsFree(port) {
			return fmt.Sprintf("127.0.0.1:%d", port)
		}
	}
	t.Fatal("no free port")
	return ""
}

func portIsFree(port int) bool {
	for i := 1; i <= maxHostsIP; i++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", i, port))
		if err != nil {
			return false
		}
		ln.Close()
	}
	return true
}

// startCluster starts all roles and waits until every entry host is ready.
func startCluster(t *testing.T, cfg clusterConfig) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), program: cmp.Or(cfg.program, os.Args[0])}
	t.Cleanup(c.stop)
	logAddr, fleetAddr, execAddr := freeAddr(t), freeAddr(t), freeAddr(t)
	c.log, c.fleet, c.execs = "http://"+logAddr, "http://"+fleetAddr, "http://"+execAddr
	if cfg.retention == "" {
		cfg.retention = "0s"
	}
	if cfg.lease == "" {
		cfg.lease = "2s"
	}
	c.startStandin("log", fmt.Sprintf("[log]\nlisten = %s\nretention = %s\n", logAddr, cfg.retention))
	c.startStandin("worker", fmt.Sprintf("[workers]\nlisten = %s\nazs = a, b, c\ncount = %d\nrackSize = 4\n", fleetAddr, cfg.workers))
	c.startStandin("executor", fmt.Sprintf(
		"[executors]\nlisten = %s\nservice = triage\nazs = a, b, c\ncount = %d\nwork = %dms\n", execAddr, cfg.executors, cfg.workMs))
	var peers []string
	for i := range cfg.hosts {
		h := &hostProc{id: fmt.Sprintf("e%d", i), api: freeAddr(t), peer: freeAddr(t)}
		c.hosts = append(c.hosts, h)
		peers = append(peers, h.peer)
	}
	c.proxy = startProxy(t, logAddr)
	for i, h := range c.hosts {
		log := c.log
		if i == 0 {
			log = "http://" + c.proxy.ln.Addr().String()
		}
		c.writeHost(h, azs[i%len(azs)], log, cfg.lease, cfg.limits, peers)
		c.startHost(h)
	}
	c.waitFor("every entry host is ready", c.ready)
	return c
}

func (c *cluster) writeHost(h *hostProc, az, log, lease, limits string, peers []string) {
	h.path = c.writeFile(h.id+".ini", fmt.Sprintf(`[host]
id = %s
az = %s
listen = %s
peer = %s
peers = %s

[platform]
log = %s
logTimeout = 1s
hostLists = %s, %s

[timing]
renew = 500ms
lease = %s
margin = 500ms
%s`, h.id, az, h.api, h.peer, strings.Join(peers, ", "), log, c.fleet, c.execs, lease, limits))
}

func (c *cluster) writeFile(name, text string) string {
	path := filepath.Join(c.dir, name)
	assert.NilError(c.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (c *cluster) startStandin(kind, settings string) {
	c.run("standin", kind, "--config", c.writeFile(kind+".ini", settings))
}

func (c *cluster) startHost(h *hostProc) { h.cmd = c.run("entry", "--config", h.path) }

// run starts one role as a process. Its output goes to a file in the test's
// directory.
func (c *cluster) run(args ...string) *exec.Cmd {
	out, err := os.CreateTemp(c.dir, strings.Join(args[:2], "-")+"-*.out")
	assert.NilError(c.t, err)
	cmd := exec.Command(c.program, args...)
	cmd.Env = append(os.Environ(), roleEnv+"=1")
	cmd.Stdout, cmd.Stderr = out, out
	assert.NilError(c.t, cmd.Start())
	c.procs = append(c.procs, cmd)
	return cmd
}

// stop kills every process that the test started and logs their output if the
// test failed.
func (c *cluster) stop() {
	for _, p := range c.procs {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if !c.t.Failed() {
		return
	}
	outs, _ := filepath.Glob(filepath.Join(c.dir, "*.out"))
	for _, path := range outs {
		data, _ := os.ReadFile(path)
		c.t.Logf("%s:\n%s", filepath.Base(path), lastBytes(data))
	}
}

const maxOutputBytes = 3000

func lastBytes(data []byte) []byte { return data[max(0, len(data)-maxOutputBytes):] }

// waitFor polls a condition until it holds or pollTimeout passes.
func (c *cluster) waitFor(what string, ok func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(pollTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met within %s: %s", pollTimeout, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cluster) ready() bool {
	for _, h := range c.hosts {
		if !h.ready() {
			return false
		}
	}
	return true
}

func (h *hostProc) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := httpd.Call[struct{}](ctx, http.MethodGet, "http://"+h.api+"/readyz", nil)
	return err == nil
}

// client returns a client that uses the entry hosts round-robin.
func (c *cluster) client(key string) *caller.Client {
	var api []string
	for _, h := range c.hosts {
		api = append(api, "http://"+h.api)
	}
	return caller.New(caller.Config{API: api, Key: key, MaxAttempts: 200})
}

// createTeam creates a team with access to everything and returns its key.
func (c *cluster) createTeam(name string, limit jobs.Size) string {
	c.t.Helper()
	ctx := context.Background()
	op := c.client("")
	for _, e := range []config.Edit{
		{Operation: config.SetPlan, Name: name, Share: 1, Limit: limit},
		{Operation: config.AddAllow, Name: name, Items: []string{"queue:*", "service:*", "az:*"}},
		{Operation: config.IssueKey, Name: name + "-key", Team: name, SecretHash: config.HashSecret("secret")},
	} {
		_, err := op.Edit(ctx, e)
		assert.NilError(c.t, err)
	}
	key := name + "-key.secret"
	c.waitFor("every entry host accepts the key", func() bool {
		for _, h := range c.hosts {
			cl := caller.New(caller.Config{API: []string{"http://" + h.api}, Key: key})
			if _, err := cl.List(ctx, jobs.Waiting); err != nil {
				return false
			}
		}
		return true
	})
	return key
}

// setSwitch sets the fault injection switches of a stand-in.
func (c *cluster) setSwitch(url string, sw any) {
	c.t.Helper()
	_, err := httpd.Call[json.RawMessage](context.Background(), http.MethodPost, url+"/switch", sw)
	assert.NilError(c.t, err)
}

// ownedGroups returns the number of groups owned by the entry hosts with the given
// indexes.
func (c *cluster) ownedGroups(indexes ...int) int {
	n := 0
	for _, i := range indexes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		d, err := caller.New(caller.Config{API: []string{"http://" + c.hosts[i].api}}).Dump(ctx)
		cancel()
		if err != nil {
			continue
		}
		for _, g := range d.Groups {
			if g.Epoch > 0 {
				n++
			}
		}
	}
	return n
}

func (c *cluster) runs() []fakes.Run {
	c.t.Helper()
	runs, err := httpd.Call[[]fakes.Run](context.Background(), http.MethodGet, c.fleet+"/runs", nil)
	assert.NilError(c.t, err)
	return runs
}

func (c *cluster) executions() []fakes.Execution {
	c.t.Helper()
	list, err := httpd.Call[[]fakes.Execution](context.Background(), http.MethodGet, c.execs+"/executions", nil)
	assert.NilError(c.t, err)
	return list
}

func (h *hostProc) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, h.cmd.Process.Signal(s))
}
