package gate

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/ports"
)

var (
	plannedRounds = flag.Int("planned.rounds", 1, "rounds of TestPlannedWorkCutsNoRequest per load")
	plannedSeed   = flag.Int64("planned.seed", 1, "seed of the first round")
)

// Timing of the platform and of the hosts in these tests.
const (
	plannedHosts    = 4
	plannedWork     = 8 * time.Second        // of one round, with restarts
	newConnsFor     = 2 * time.Second        // the load balancer sends new connections to a stopping host
	lateCut         = 200 * time.Millisecond // a connection that ends later than this after the last byte of a request counts as lost
	keptConns       = 60                     // kept open, per host
	freshClients    = 4                      // open a connection for each request
	maxThink        = 4 * time.Second
	hostsProcessEnv = "GATE_TEST_HOSTS"
)

// TestPlannedHostsProcess executes the commands that TestPlannedWorkCutsNoRequest
// sends to its hosts. It does nothing in other runs.
func TestPlannedHostsProcess(t *testing.T) {
	if os.Getenv(hostsProcessEnv) == "" {
		return
	}
	c := newCluster(t, plannedHosts)
	for i := range numberedJobs {
		c.fleet.RegisterJob(numberedSpec(i))
	}
	c.awaitReady()
	var out sync.Mutex
	say := func(format string, args ...any) {
		out.Lock()
		defer out.Unlock()
		fmt.Printf("@"+format+"\n", args...)
	}
	for i, h := range c.hosts {
		say("up %d %s", i, h.apiServer.Addr())
	}
	in := bufio.NewScanner(os.Stdin)
	endSpin := new(atomic.Bool)
	version := int64(3)
	var mu sync.Mutex // guards c.hosts
	for in.Scan() {
		var cmd string
		var n int
		_, err := fmt.Sscan(in.Text(), &cmd, &n)
		assert.NilError(t, err, "%q", in.Text())
		mu.Lock()
		switch cmd {
		case "stop":
			h := c.hosts[n]
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
				defer cancel()
				err := h.Stop(ctx)
				_ = h.apiServer.Close() // the process ends
				say("stopped %d %v", n, err)
				mu.Lock()
				defer mu.Unlock()
				c.start(n)
				say("up %d %s", n, c.hosts[n].apiServer.Addr())
			}()
		case "reload":
			c.hosts[n].Reload(c.hosts[n].cfg)
		case "config":
			version += int64(n)
			data, err := json.Marshal(ports.ClusterConfig{
				Version: version, Queues: []sched.Queue{
					{Name: "q", Host: "h.example", Prefix: "/q/", Service: "s", MaxAttempts: 3, Slack: 2, TargetMs: 400 + version%5*100, Advice: &sched.AdviceTiming{BaseMs: 1, ValidMs: 2000}},
				},
				Teams: []ports.Team{{Name: "t", Keys: []string{"k", fmt.Sprint("k", version)}, Weight: 50 + version%50}},
			})
			assert.NilError(t, err)
			c.store.Put("op", "config", data)
		case "delay":
			c.store.SetFaults(fakes.StoreFaults{Delay: time.Duration(n) * time.Millisecond})
		case "spin":
			endSpin.Store(true)
			endSpin = new(atomic.Bool)
			for range n {
				go spin(endSpin)
			}
		}
		mu.Unlock()
	}
}

func spin(stop *atomic.Bool) {
	for !stop.Load() {
	}
}

// plannedPlay is one round: hosts in a process and their clients.
type plannedPlay struct {
	t     *testing.T
	load  plannedLoad
	stdin io.WriteCloser

	mu        sync.Mutex
	addrs     [plannedHosts]string
	stoppedAt [plannedHosts]time.Time // zero unless it is stopping

	complete, refusedDial, unsent, closedIdle, cut, late atomic.Int64
	maxCut                                               atomic.Int64 // ns
	done                                                 chan struct{}
	clients                                              sync.WaitGroup
}

func (p *plannedPlay) command(cmd string, n int) { fmt.Fprintln(p.stdin, cmd, n) }

// target returns the address of a random host that gets new connections.
func (p *plannedPlay) target(r *rand.Rand) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range 20 {
		i := r.Intn(plannedHosts)
		if p.addrs[i] != "" && (p.load.newConns || p.stoppedAt[i].IsZero() || time.Since(p.stoppedAt[i]) < newConnsFor) {
			return p.addrs[i]
		}
	}
	return ""
}

// client sends requests until the round ends, on kept or on fresh connections.
func (p *plannedPlay) client(seed int64, keep bool) {
	defer p.clients.Done()
	r := rand.New(rand.NewSource(seed))
	var nc net.Conn
	var br *bufio.Reader
	drop := func() {
		if nc != nil {
			nc.Close()
			nc = nil
		}
	}
	defer drop()
	for {
		if nc == nil {
			var err error
			if nc, err = net.DialTimeout("tcp", p.target(r), time.Second); err != nil {
				p.refusedDial.Add(1)
				nc = nil
			} else {
				br = bufio.NewReader(nc)
			}
		}
		think := time.Duration(r.Int63n(int64(20 * time.Millisecond)))
		if keep {
			think = time.Duration(r.Int63n(int64(maxThink)))
		}
		select {
		case <-p.done:
			return
		case <-time.After(think):
		}
		if nc == nil {
			continue
		}
		if ended(nc) {
			p.closedIdle.Add(1) // before anything was sent on it
			drop()
			continue
		}
		if again := p.request(nc, br, r); !again || !keep {
			drop()
		}
	}
}

// ended reports whether the server has sent a final response on, or has closed, an
// idle connection.
func ended(nc net.Conn) (ended bool) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = err != syscall.EAGAIN
	})
	return ended || err != nil
}

// request sends one request and reads its response. It returns whether the connection
// can be used again.
func (p *plannedPlay) request(nc net.Conn, br *bufio.Reader, r *rand.Rand) (again bool) {
	spec := numberedSpec(r.Intn(numberedJobs))
	method, path := "GET", "/q/"+spec.ID
	var body []byte
	switch r.Intn(4) {
	case 0, 1:
		method = "POST"
		body, _ = json.Marshal(spec)
	case 2:
		path = "/q/"
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	data := b.Bytes()
	_ = nc.SetDeadline(time.Now().Add(answerTimeout))
	if r.Intn(2) == 0 {
		n := r.Intn(len(data))
		if _, err := nc.Write(data[:n]); err != nil {
			p.unsent.Add(1)
			return false
		}
		time.Sleep(time.Duration(r.Int63n(int64(60 * time.Millisecond))))
		data = data[n:]
	}
	if _, err := nc.Write(data); err != nil {
		p.unsent.Add(1)
		return false
	}
	sent := time.Now()
	resp, err := http.ReadResponse(br, nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		d := time.Since(sent)
		p.cut.Add(1)
		for {
			old := p.maxCut.Load()
			if int64(d) <= old || p.maxCut.CompareAndSwap(old, int64(d)) {
				break
			}
		}
		if d > lateCut {
			p.late.Add(1)
		}
		p.t.Logf("%s %s: cut %v after its last byte: %v", method, path, d.Round(time.Millisecond), err)
		return false
	}
	p.complete.Add(1)
	return !resp.Close
}

// TestPlannedWorkCutsNoRequest stops hosts, reloads them and changes the configuration
// while clients use open and new connections. Each request gets a complete response.
func TestPlannedWorkCutsNoRequest(t *testing.T) {
	for _, load := range []plannedLoad{
		{name: "calm"},
		{name: "slow store", delayMs: 300},
		{name: "slow store, all hosts get new connections", delayMs: 300, newConns: true},
		{name: "little CPU", spinners: 4},
	} {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			for round := range *plannedRounds {
				playPlanned(t, *plannedSeed+int64(round), load)
			}
		})
	}
}

// plannedLoad is what the hosts have to bear in a round.
type plannedLoad struct {
	name     string
	spinners int  // busy goroutines beside the hosts, on one CPU
	delayMs  int  // of each store call
	newConns bool // stopping hosts get new connections until they refuse them
}

func playPlanned(t *testing.T, seed int64, load plannedLoad) {
	r := rand.New(rand.NewSource(seed))
	cmd := exec.Command(os.Args[0], "-test.run=^TestPlannedHostsProcess$")
	cmd.Env = append(os.Environ(), hostsProcessEnv+"=1", "GOMAXPROCS=1")
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	assert.NilError(t, err)
	stdout, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	p := &plannedPlay{t: t, load: load, stdin: stdin, done: make(chan struct{})}
	ups := make(chan int, 100)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		in := bufio.NewScanner(stdout)
		for in.Scan() {
			var i int
			var rest string
			line := strings.TrimPrefix(in.Text(), "@")
			if n, _ := fmt.Sscanf(line, "up %d %s", &i, &rest); n == 2 {
				p.mu.Lock()
				p.addrs[i], p.stoppedAt[i] = rest, time.Time{}
				p.mu.Unlock()
				ups <- i
			} else if line != "PASS" {
				t.Log(line)
			}
		}
	}()
	awaitUp := func() {
		t.Helper()
		select {
		case <-ups:
		case <-ended: // its output has been logged
			t.Fatal("the process of the hosts has ended")
		}
	}
	for range plannedHosts {
		awaitUp()
	}
	for i := range keptConns*plannedHosts + freshClients {
		p.clients.Add(1)
		go p.client(seed*1000+int64(i), i >= freshClients)
	}
	time.Sleep(time.Second)
	p.command("delay", load.delayMs)
	p.command("spin", load.spinners)
	up := plannedHosts
	for start := time.Now(); time.Since(start) < plannedWork; {
		switch r.Intn(3) {
		case 0:
			if up > 2 {
				i := r.Intn(plannedHosts)
				p.mu.Lock()
				free := p.stoppedAt[i].IsZero()
				if free {
					p.stoppedAt[i] = time.Now()
					up--
				}
				p.mu.Unlock()
				if free {
					p.command("stop", i)
				}
			}
		case 1:
			p.command("reload", r.Intn(plannedHosts))
		case 2:
			p.command("config", 1+r.Intn(3))
		}
		select {
		case <-ups:
			up++
		case <-time.After(time.Duration(r.Int63n(int64(700 * time.Millisecond)))):
		}
	}
	for ; up < plannedHosts; up++ {
		awaitUp()
	}
	close(p.done)
	p.clients.Wait()
	stdin.Close()
	<-ended
	assert.NilError(t, cmd.Wait())
	t.Logf("%s, seed %d: %d complete, %d cut, %d of them late (longest %v); %d dials refused, %d not sent, %d closed while idle",
		load.name, seed, p.complete.Load(), p.cut.Load(), p.late.Load(), time.Duration(p.maxCut.Load()).Round(time.Millisecond), p.refusedDial.Load(), p.unsent.Load(), p.closedIdle.Load())
	assert.Assert(t, p.complete.Load() > 0)
	assert.Check(t, p.cut.Load() == 0, "requests without a complete response")
}
