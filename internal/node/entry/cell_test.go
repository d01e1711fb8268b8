package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/conf"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/base/logs"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/stream"
)

// pollTimeout is the maximum time that a test waits for a condition.
const pollTimeout = 30 * time.Second

// until waits until ok returns true and fails the test after pollTimeout.
func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	polls.Until(t, pollTimeout, what, ok)
}

// testCell is a cell whose parts run in the test process and communicate over TCP.
type testCell struct {
	t        testing.TB
	log      *fakes.Log
	testLogs []*testLog
	fleet    *fakes.Fleet
	execs    *fakes.Execs
	hosts    []*Host
}

// testCellConfig describes a testCell.
type testCellConfig struct {
	hosts            int
	workers          int
	retention        time.Duration
	appendsPerSecond int
	timing           string // additional lines of the [timing] section
}

var testAzs = []string{"a", "b", "c"}

// startTestCell starts a cell and waits until every host is ready.
func startTestCell(t testing.TB, cfg testCellConfig) *testCell {
	t.Helper()
	c := &testCell{t: t}
	t.Cleanup(c.close)
	var err error
	c.log, err = fakes.StartLog(fakes.LogConfig{Addr: "127.0.0.1:0", AppendsPerSecond: cfg.appendsPerSecond, Retention: cfg.retention})
	assert.NilError(t, err)
	c.fleet, err = fakes.StartFleet(fakes.FleetConfig{Addr: "127.0.0.1:0", Workers: fakes.Workers(fakes.GridConfig{
		Azs: testAzs, Workers: cfg.workers, RackSize: 2, CPU: 8000, Mem: 16384,
	})})
	assert.NilError(t, err)
	c.execs, err = fakes.StartExecs(fakes.ExecConfig{Addr: "127.0.0.1:0", Targets: fakes.Targets(fakes.TargetsConfig{
		Service: "triage", Azs: testAzs, Count: 6, Slots: 4, Conns: 16,
	})})
	assert.NilError(t, err)
	for i := range cfg.hosts {
		c.start(i, cfg.timing)
	}
	until(t, "every host is ready", func() bool {
		for _, h := range c.hosts {
			if h.Ready() != nil {
				return false
			}
		}
		return true
	})
	return c
}

// start starts an entry host. It finds the other hosts through the first one.
func (c *testCell) start(i int, timing string) *Host {
	c.t.Helper()
	peers := "127.0.0.1:1"
	if len(c.hosts) > 0 {
		peers = c.hosts[0].Peer()
	}
	set, err := conf.Parse[Settings]([]byte(fmt.Sprintf(`[host]
id = e%d
az = %s
listen = 127.0.0.1:0
peer = 127.0.0.1:2
peers = %s
[platform]
log = %s
hostLists = %s, %s
groupsInAz = 1
[timing]
renew = 300ms
lease = 1500ms
margin = 200ms
%s
`, i, testAzs[i%len(testAzs)], peers, c.log.URL(), c.fleet.URL(), c.execs.URL(), timing)))
	assert.NilError(c.t, err)
	set.Host.Peer = "127.0.0.1:0"
	client := &testLog{Log: stream.NewClient(stream.ClientConfig{URL: c.log.URL(), Timeout: set.Platform.LogTimeout})}
	c.testLogs = append(c.testLogs, client)
	h, err := Start(Config{Settings: set, Logger: logs.Discard(), Log: client})
	assert.NilError(c.t, err)
	c.hosts = append(c.hosts, h)
	return h
}

func (c *testCell) close() {
	for _, h := range c.hosts {
		h.Kill()
	}
	if c.execs != nil {
		c.execs.Close()
	}
	if c.fleet != nil {
		c.fleet.Close()
	}
	if c.log != nil {
		c.log.Close()
	}
}

// edit applies an edit through a host and fails the test if it is rejected.
func (c *testCell) edit(h *Host, e config.Edit) config.EditResult {
	c.t.Helper()
	e.Base = h.follower.State().VersionOf(e.Object())
	r, err := send[config.EditResult](h, "", http.MethodPost, "/edits", e)
	assert.NilError(c.t, err)
	return r
}

// createTeam creates a team with the key NAME.secret and a plan that allows all
// queues, services and availability zones.
func (c *testCell) createTeam(name string, cpu int64) {
	c.t.Helper()
	h := c.hosts[len(c.hosts)-1]
	c.edit(h, config.Edit{ID: name + "-1", Operation: config.SetPlan, Name: name, Share: 1, Limit: jobs.Size{CPU: cpu, Mem: jobs.Unlimited}})
	c.edit(h, config.Edit{ID: name + "-2", Operation: config.AddAllow, Name: name, Items: []string{"queue:*", "service:*", "az:*"}})
	c.edit(h, config.Edit{ID: name + "-3", Operation: config.IssueKey, Name: name, Team: name, SecretHash: config.HashSecret("secret")})
	until(c.t, "every ready host has applied the key", func() bool {
		for _, h := range c.hosts {
			if h.Ready() != nil {
				continue
			}
			if _, err := h.follower.State().TeamOfKey(name + ".secret"); err != nil {
				return false
			}
		}
		return true
	})
}

// send sends a JSON request to a host and decodes the response.
func send[Resp any](h *Host, key, method, path string, req any) (Resp, error) {
	header := http.Header{}
	if key != "" {
		header.Set("Authorization", "Bearer "+key)
	}
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	return httpd.CallWithHeader[Resp](ctx, method, h.API()+path, header, req)
}

func testSpec(name string, runMs int64) jobs.Spec {
	return jobs.Spec{Name: name, Kind: jobs.Batch, Tasks: 1, Size: jobs.Size{CPU: 1000, Mem: 16}, RunMs: runMs}
}

// submit submits a job and fails the test if it is rejected.
func (c *testCell) submit(h *Host, team string, spec jobs.Spec) jobs.Job {
	c.t.Helper()
	j, err := send[jobs.Job](h, team+".secret", http.MethodPost, "/jobs", spec)
	assert.NilError(c.t, err)
	return j
}

// state returns a job's state as reported by h, or "" after an error.
func (c *testCell) state(h *Host, id jobs.ID) jobs.State {
	a, err := send[JobAnswer](h, "", http.MethodGet, "/jobs/"+string(id), nil)
	if err != nil {
		return ""
	}
	return a.State
}
