package main

import (
	"bytes"
	"context"
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
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/plat/fakes"
)

// The tests of this file send a crowd of misbehaving clients to each address of a real
// process that callers can reach. They guard against a process that runs out of memory or
// descriptors, and check nothing that depends on the speed of the machine.

// Size of a crowd and the bounds that the process has to keep.
const (
	crowdClients     = 600
	crowdMemoryMiB   = 96                            // of the machine, in the settings of the process
	crowdMaxRSSKiB   = crowdMemoryMiB << 10 * 9 / 10 // nine tenths of it
	crowdDescriptors = 512                           // of the machine, in the settings of the process
	crowdBody        = 256 << 10                     // largest legal body of the platform's path, in bytes
	crowdOwnBody     = 1 << 20                       // the same of the own interface
	crowdDialers     = 64                            // clients that send at the same time
	crowdWriteTime   = 3 * time.Second               // until a client stops sending and stays open
	crowdLongHead    = 128 << 10                     // bytes of a head over any limit
	crowdEndlessHead = 1 << 20                       // bytes of a head without end, at which its client stops
	crowdAnswerTime  = 60 * time.Second              // bound of the ordinary request that ends the test, with its retries
)

// crowdTarget is an address of a process under test.
type crowdTarget struct {
	pid      int
	addr     string
	path     string                 // of the crowd's requests
	key      string                 // API key of the crowd
	body     int                    // size of a large legal body, in bytes
	ordinary func() (string, error) // sends an ordinary request and returns its status
}

// crowdProgram builds the program without the race detector, whose memory the bounds do not
// count.
var crowdProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "lagooncourse")
	out, err := exec.Command("go", "build", "-o", path, "lagooncourse/cmd/lagooncourse").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return path, nil
})

// head returns the head of a request with the given further header lines.
func (c *crowdTarget) head(method, lines string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nX-Lagooncourse-Deadline-Ms: 60000\r\n%s", method, c.path, c.key, lines)
}

// crowdKinds are the ways in which the clients of a crowd misbehave. Each returns the parts
// that a client sends one after another before it stays open.
var crowdKinds = []struct {
	name  string
	parts func(c *crowdTarget) []string
}{
	{"headOverLimit", func(c *crowdTarget) []string {
		return []string{c.head("POST", "X-Long: "+strings.Repeat("a", crowdLongHead)+"\r\n\r\n")}
	}},
	{"headManyLines", func(c *crowdTarget) []string {
		var b strings.Builder
		for i := 0; b.Len() < 60<<10; i++ {
			fmt.Fprintf(&b, "a%x:\r\n", i)
		}
		return []string{c.head("POST", b.String())}
	}},
	{"headWithoutEnd", func(c *crowdTarget) []string {
		parts := []string{c.head("POST", "")}
		for i := range crowdEndlessHead >> 14 {
			parts = append(parts, fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("a", 16<<10)))
		}
		return parts
	}},
	{"lineWithoutEnd", func(c *crowdTarget) []string {
		return append([]string{"GET /"}, pieces(strings.Repeat("a", crowdEndlessHead), 16<<10)...)
	}},
	{"emptyLines", func(*crowdTarget) []string {
		return pieces(strings.Repeat("\r\n", crowdEndlessHead/2), 16<<10)
	}},
	{"bodyWhole", func(c *crowdTarget) []string {
		return []string{c.lengthHead(), c.jobBody()}
	}},
	{"bodyManySteps", func(c *crowdTarget) []string {
		body := `{"spec":"x","steps":[{}` + strings.Repeat(",{}", c.body/3-16) + `]}`
		return []string{c.lengthHead(), body + strings.Repeat(" ", c.body-len(body))}
	}},
	{"bodyPieces", func(c *crowdTarget) []string {
		return append([]string{c.lengthHead()}, pieces(c.jobBody()[:c.body-1], 16<<10)...)
	}},
	{"chunksLarge", func(c *crowdTarget) []string {
		return append([]string{c.chunkedHead()}, chunks(c.jobBody()[:c.body-1], 64<<10)...)
	}},
	{"chunksSmall", func(c *crowdTarget) []string {
		return append([]string{c.chunkedHead()}, pieces(strings.Join(chunks(c.jobBody()[:64<<10], 4), ""), 16<<10)...)
	}},
	{"answersUnread", func(c *crowdTarget) []string {
		return pieces(strings.Repeat(c.head("GET", "\r\n"), 256), 16<<10)
	}},
}

func (c *crowdTarget) lengthHead() string {
	return c.head("POST", fmt.Sprintf("Content-Length: %d\r\n\r\n", c.body))
}

func (c *crowdTarget) chunkedHead() string {
	return c.head("POST", "Transfer-Encoding: chunked\r\n\r\n")
}

// jobBody returns a valid job of the largest legal size.
func (c *crowdTarget) jobBody() string {
	body := `{"spec":"x","steps":[{"count":1,"cpu":100,"taskMemoryMb":1,"estimatedMs":10}]`
	return body + strings.Repeat(" ", c.body-len(body)-1) + "}"
}

// pieces splits s into parts of up to n bytes.
func pieces(s string, n int) (list []string) {
	for len(s) > n {
		list, s = append(list, s[:n]), s[n:]
	}
	return append(list, s)
}

// chunks returns s in chunks of up to n bytes of the chunked transfer coding, without the
// last chunk.
func chunks(s string, n int) (list []string) {
	for _, p := range pieces(s, n) {
		list = append(list, strconv.FormatInt(int64(len(p)), 16)+"\r\n"+p+"\r\n")
	}
	return list
}

// send opens the connections of a crowd, sends the parts on each, and returns the
// connections, which stay open.
func (c *crowdTarget) send(parts []string) (conns []net.Conn) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	dialers := make(chan struct{}, crowdDialers)
	for range crowdClients {
		dialers <- struct{}{}
		wg.Add(1)
		go func() {
			defer func() { <-dialers; wg.Done() }()
			nc, err := net.DialTimeout("tcp", c.addr, crowdWriteTime)
			if err != nil {
				return // refused
			}
			mu.Lock()
			conns = append(conns, nc)
			mu.Unlock()
			_ = nc.SetWriteDeadline(time.Now().Add(crowdWriteTime))
			for _, p := range parts {
				if _, err := io.WriteString(nc, p); err != nil {
					return // refused, or the process has stopped reading
				}
			}
		}()
	}
	wg.Wait()
	return conns
}

// peakRSS returns the highest resident size of a process so far, in KiB.
func peakRSS(t *testing.T, pid int) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err, "the process has ended")
	for line := range strings.Lines(string(data)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.Fields(v)[0])
			assert.NilError(t, err)
			return n
		}
	}
	t.Fatal("the process has ended")
	return 0
}

// descriptors returns the number of open descriptors of a process, 0 if it has ended.
func descriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}

// watchDescriptors samples the descriptors of a process until stop is called, which
// returns the highest number.
func watchDescriptors(pid int) (stop func() int) {
	done, result := make(chan struct{}), make(chan int)
	go func() {
		peak := 0
		for {
			peak = max(peak, descriptors(pid))
			select {
			case <-done:
				result <- peak
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() int {
		close(done)
		return <-result
	}
}

// survives sends a crowd and checks that the process lives within its bounds and answers an
// ordinary request while the crowd stays connected.
func (c *crowdTarget) survives(t *testing.T, parts []string) {
	before := peakRSS(t, c.pid)
	stop := watchDescriptors(c.pid)
	conns := c.send(parts)
	defer func() {
		for _, nc := range conns {
			nc.Close()
		}
	}()
	var status string
	var err error
	for deadline := time.Now().Add(crowdAnswerTime); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if status, err = c.ordinary(); err == nil && status == "200 OK" {
			break
		}
	}
	peak, open := peakRSS(t, c.pid), stop()
	t.Logf("peak memory %d KiB, %d KiB before; peak descriptors %d; ordinary request: %s %v", peak, before, open, status, err)
	assert.Check(t, err)
	assert.Check(t, status == "200 OK", "the ordinary request got %q", status)
	assert.Check(t, peak <= crowdMaxRSSKiB, "peak memory %d KiB", peak)
	assert.Check(t, open <= crowdDescriptors, "peak descriptors %d", open)
}

// get returns the status of a GET request on a new connection.
func get(url string) (string, error) {
	return request(http.MethodGet, url, crowdKey, nil)
}

// crowdKey is a valid key of the platform's path.
const crowdKey = "k"

func request(method, url, key string, body []byte) (status string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Close, r.Host = true, "h.example"
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Status, err
}

// crowdHost starts one entry host of the platform's path and returns its addresses.
func crowdHost(t *testing.T) (front, ready, metrics *crowdTarget) {
	s := newSoakWith(t, soakConfig{
		hosts: 1, teams: []soakTeam{{name: crowdKey, weight: 1000}}, program: crowdProgramPath(t),
		memoryMiB: crowdMemoryMiB, descriptors: crowdDescriptors,
		fleet:  fakes.SimFleetConfig{Workers: 4, Capacity: soakCapacity, Rack: 2, Azs: []string{"x"}, Service: "s", Seed: 1},
		queues: []soakQueue{{name: "q", attempts: 3, slack: 2, targetMs: 500}},
	})
	t.Cleanup(func() { close(s.stop); s.hosts[0].signal(syscall.SIGKILL, true) })
	h := s.hosts[0]
	jobs := 0
	front = &crowdTarget{addr: h.api, key: crowdKey, path: "/q/00000000000000ff", body: crowdBody, ordinary: func() (string, error) {
		jobs++
		body := []byte(`{"spec":"x","steps":[{"count":1,"cpu":100,"taskMemoryMb":1,"estimatedMs":10}]}`)
		return request(http.MethodPost, fmt.Sprintf("http://%s/q/%016x", h.api, jobs), crowdKey, body)
	}}
	ready = &crowdTarget{addr: h.ready, path: "/ready", body: crowdBody, ordinary: func() (string, error) { return get("http://" + h.ready + "/ready") }}
	metrics = &crowdTarget{addr: h.metrics, path: "/metrics", body: crowdBody, ordinary: func() (string, error) { return get("http://" + h.metrics + "/metrics") }}
	for _, c := range []*crowdTarget{front, ready, metrics} {
		c.pid = h.process().Process.Pid
		awaitOrdinary(t, c)
	}
	return front, ready, metrics
}

// awaitOrdinary waits until an ordinary request is served in calm.
func awaitOrdinary(t *testing.T, c *crowdTarget) {
	t.Helper()
	var status string
	var err error
	for deadline := time.Now().Add(pollTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if status, err = c.ordinary(); err == nil && status == "200 OK" {
			return
		}
	}
	t.Fatalf("no ordinary request is served before the crowd: %s %v", status, err)
}

func crowdProgramPath(t *testing.T) string {
	path, err := crowdProgram()
	assert.NilError(t, err)
	return path
}

// TestCrowdAtFrontend guards against callers of the platform's path that exhaust a host.
func TestCrowdAtFrontend(t *testing.T) {
	for _, k := range crowdKinds {
		t.Run(k.name, func(t *testing.T) {
			front, _, _ := crowdHost(t)
			front.survives(t, k.parts(front))
		})
	}
}

// TestCrowdAtReady guards against callers of the readiness check that exhaust a host.
func TestCrowdAtReady(t *testing.T) {
	for _, k := range crowdKinds {
		t.Run(k.name, func(t *testing.T) {
			_, ready, _ := crowdHost(t)
			ready.survives(t, k.parts(ready))
		})
	}
}

// TestCrowdAtMetrics guards against callers of the metrics address that exhaust a host.
func TestCrowdAtMetrics(t *testing.T) {
	for _, k := range crowdKinds {
		t.Run(k.name, func(t *testing.T) {
			_, _, metrics := crowdHost(t)
			metrics.survives(t, k.parts(metrics))
		})
	}
}

// TestCrowdAtOwnInterface guards against callers of the own interface that exhaust a host.
func TestCrowdAtOwnInterface(t *testing.T) {
	for _, k := range crowdKinds {
		t.Run(k.name, func(t *testing.T) {
			c := startCluster(t, clusterConfig{hosts: 1, workers: 4, executors: 1, workMs: 1, program: crowdProgramPath(t), limits: fmt.Sprintf("\n[limits]\nmemoryMiB = %d\ndescriptors = %d\n", crowdMemoryMiB, crowdDescriptors)})
			h := c.hosts[0]
			key := c.createTeam("lab", largeLimit)
			target := &crowdTarget{pid: h.cmd.Process.Pid, addr: h.api, path: "/jobs", key: key, body: crowdOwnBody, ordinary: func() (string, error) {
				return request(http.MethodGet, "http://"+h.api+"/jobs", key, nil)
			}}
			awaitOrdinary(t, target)
			target.survives(t, k.parts(target))
		})
	}
}

// TestLargestBodyIsServedInCalm guards against limits that refuse a single legal request of
// the largest size.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	front, _, _ := crowdHost(t)
	status, err := request(http.MethodPost, "http://"+front.addr+"/q/00000000000000fe", crowdKey, []byte(front.jobBody()))
	assert.NilError(t, err)
	assert.Equal(t, status, "200 OK")
}
