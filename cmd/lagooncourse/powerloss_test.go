package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/platform/mock"
)

var (
	powerSeeds  = flag.Int("power.seeds", 1, "number of seeds of the plays of power losses")
	powerFirst  = flag.Int64("power.first", 1, "first seed of the plays of power losses")
	powerRounds = flag.Int("power.rounds", 1, "number of power losses of a play")
)

// Times and sizes of the plays of power losses.
const (
	powerClients  = 12
	powerWait     = 5 * time.Second // for the acknowledgement that a power loss follows
	powerTries    = 8
	maxPowerHosts = maxHostsIP - 1
)

// storeMode is how the store answers one host.
type storeMode int

const (
	modeOpen   storeMode = iota
	modeBusy             // 503, nothing is done
	modeMany             // 429, nothing is done
	modeReset            // the connection is reset, nothing is done
	modeSilent           // no answer, nothing is done
	modeSlow             // done after a pause, also if the host has gone
	modeLost             // done, but three in ten writes get no answer
	modeLate             // one write in two is done 1 to 4 s later and gets no answer
	storeModes
)

var modeNames = [...]string{"open", "busy", "many", "reset", "silent", "slow", "lost", "late"}

// storeProxy is the store as one host reaches it.
type storeProxy struct {
	target string
	mode   atomic.Int64
	pause  atomic.Int64 // ns, of modeSlow
	lag    atomic.Int64 // ns, mean, of each call
}

// startStoreProxy serves the store at an address of its own.
func startStoreProxy(t *testing.T, target string) (d *storeProxy, addr string) {
	d = &storeProxy{target: target}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	t.Cleanup(func() { srv.Close() })
	go func() { _ = srv.Serve(ln) }()
	return d, ln.Addr().String()
}

// ServeHTTP passes a call on to the store in the mode that is set.
func (d *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	write := r.Method == http.MethodPost
	if lag := d.lag.Load(); lag > 0 {
		time.Sleep(time.Duration(rand.Int63n(2 * lag)))
	}
	switch storeMode(d.mode.Load()) {
	case modeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case modeMany:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case modeReset:
		if nc, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = nc.(*net.TCPConn).SetLinger(0)
			nc.Close()
		}
		return
	case modeSilent:
		<-r.Context().Done()
		return
	case modeSlow:
		time.Sleep(time.Duration(d.pause.Load()))
	case modeLost:
		if write && rand.Intn(10) < 3 {
			d.pass(discardAnswer{http.Header{}}, r, body)
			<-r.Context().Done()
			return
		}
	case modeLate:
		if write && rand.Intn(2) == 0 {
			time.AfterFunc(time.Second+time.Duration(rand.Int63n(int64(3*time.Second))), func() { d.pass(discardAnswer{http.Header{}}, r, body) })
			<-r.Context().Done()
			return
		}
	}
	d.pass(w, r, body)
}

// pass makes a call to the store, whether or not the host still waits for it.
func (d *storeProxy) pass(w http.ResponseWriter, r *http.Request, body []byte) {
	req, err := http.NewRequest(r.Method, "http://"+d.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// discardAnswer drops an answer.
type discardAnswer struct{ header http.Header }

func (d discardAnswer) Header() http.Header         { return d.header }
func (d discardAnswer) Write(b []byte) (int, error) { return len(b), nil }
func (d discardAnswer) WriteHeader(int)             {}

// powerPlay is a play of power losses. Hosts are added and removed in it.
type powerPlay struct {
	*soak
	store   string // address
	proxies map[*soakHost]*storeProxy
	gone    map[*soakHost]bool // removed for good

	mu      sync.Mutex // before that of the soak
	armed   *soakHost  // the power is lost when it next accepts a job; nil if no host is armed
	armAny  bool       // when any host does
	struck  chan string
	dark    bool
	answers map[int]int // answers to submissions by status
}

var (
	storeLine    = regexp.MustCompile(`(?m)^address = "(.*)"$`)
	nameLine     = regexp.MustCompile(`(?m)^nodeName = .*$`)
	ipLine       = regexp.MustCompile(`(?m)^ip = .*$`)
	frontendLine = regexp.MustCompile(`(?m)^frontend = .*$`)
	readyAny     = regexp.MustCompile(`(?m)^ready = .*$`)
)

// newPowerPlay starts the stand-ins and the hosts, each with a proxy of its own to the store.
func newPowerPlay(t *testing.T, seed int64) *powerPlay {
	p := &powerPlay{soak: newSoak(t, seed), proxies: map[*soakHost]*storeProxy{}, gone: map[*soakHost]bool{}, struck: make(chan string, 1), answers: map[int]int{}}
	p.soak.killAll()
	for _, h := range p.hosts {
		for h.process() != nil {
			time.Sleep(5 * time.Millisecond)
		}
		data, err := os.ReadFile(h.settings)
		assert.NilError(t, err)
		p.store = storeLine.FindStringSubmatch(string(data))[1]
		p.connectStore(h, string(data))
	}
	return p
}

// connectStore writes the settings of a host, which reaches the store through a proxy of its own, and
// starts it.
func (p *powerPlay) connectStore(h *soakHost, text string) {
	d, addr := startStoreProxy(p.t, p.store)
	p.proxies[h] = d
	text = "isCounted = false\n" + storeLine.ReplaceAllString(text, fmt.Sprintf("address = %q", addr))
	assert.NilError(p.t, os.WriteFile(h.settings, []byte(text), 0o600))
	p.startHost(h)
}

// add starts a further host, if there is an address for one.
func (p *powerPlay) add() *soakHost {
	n := len(p.hosts)
	if n+2 > maxPowerHosts {
		return nil
	}
	ip := fmt.Sprintf("127.0.0.%d", n+2)
	h := &soakHost{ip: ip, settings: filepath.Join(p.dir, fmt.Sprintf("host%d.toml", n)), api: strings.Replace(freeAddr(p.t), "127.0.0.1", ip, 1)}
	data, err := os.ReadFile(p.hosts[0].settings)
	assert.NilError(p.t, err)
	text := strings.TrimPrefix(string(data), "isCounted = false\n")
	for _, l := range []struct {
		line *regexp.Regexp
		text string
	}{
		{nameLine, fmt.Sprintf(`nodeName = "h%d"`, n)}, {ipLine, fmt.Sprintf("ip = %q", ip)}, {frontendLine, fmt.Sprintf("frontend = %q", h.api)},
		{readyAny, fmt.Sprintf("ready = %q", strings.Replace(freeAddr(p.t), "127.0.0.1", ip, 1))},
	} {
		text = l.line.ReplaceAllString(text, l.text)
	}
	p.connectStore(h, text)
	p.mu.Lock()
	p.hosts = append(p.hosts, h)
	p.mu.Unlock()
	p.event("host %s is added", ip)
	return h
}

// inUse returns the hosts that have not been removed.
func (p *powerPlay) inUse() (list []*soakHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		if !p.gone[h] {
			list = append(list, h)
		}
	}
	return list
}

// remove ends a host for good.
func (p *powerPlay) remove(h *soakHost, sig os.Signal) {
	p.event("host %s is removed by %s", h.ip, sig)
	p.mu.Lock()
	p.gone[h] = true
	p.mu.Unlock()
	h.signal(sig, true)
}

// powerOff ends all processes at once. The caller holds p.mu.
func (p *powerPlay) powerOff(why string) {
	if p.dark {
		return
	}
	p.dark, p.armed, p.armAny = true, nil, false
	at := time.Now()
	for _, h := range p.hosts {
		h.signal(syscall.SIGKILL, true)
	}
	p.event("power loss, %s; all signals sent within %s", why, time.Since(at))
	p.struck <- why
}

// powerClient hands in jobs one after the other until the play ends.
func (p *powerPlay) powerClient(n int, seed int64) {
	defer p.clients.Done()
	r := rand.New(rand.NewSource(seed))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	var mine []*soakJob
	for i := 0; ; i++ {
		select {
		case <-p.stop:
			return
		case <-time.After(time.Duration(r.Int63n(int64(60 * time.Millisecond)))):
		}
		id := fmt.Sprintf("%08x%08x", n, i)
		spec := sched.Spec{ID: id, Payload: "p", Steps: []sched.Step{{Count: 1 + r.Intn(2), Size: jobs.Size{CPU: 300, Mem: 10}, EstimateMs: int64(50 + r.Intn(400))}}}
		j := &soakJob{id: id}
		p.fleet.RegisterJob(spec)
		p.soak.mu.Lock()
		p.jobs = append(p.jobs, j)
		p.soak.mu.Unlock()
		p.submitTo(c, j, mock.JobBody(spec), r)
		if !j.accepted.IsZero() {
			mine = append(mine, j)
		}
		if len(mine) > 0 && r.Intn(3) == 0 {
			p.askFor(c, mine[r.Intn(len(mine))], r)
		}
	}
}

// askFor asks a random host for a job that it has to know.
func (p *powerPlay) askFor(c *http.Client, j *soakJob, r *rand.Rand) {
	p.mu.Lock()
	h := p.hosts[r.Intn(len(p.hosts))]
	p.mu.Unlock()
	sent := time.Now()
	status, body := p.call(c, h, http.MethodGet, j.id, nil)
	switch {
	case status == http.StatusGone && sent.Sub(j.accepted) > soakVisible:
		p.find("LOST: accepted job %s is answered 410 by %s", j.id, h.ip)
	case status == http.StatusOK && (strings.Contains(body, "failed") || strings.Contains(body, "cancelled")):
		p.find("LOST: job %s is shown as %s", j.id, body)
	}
}

// submitTo hands in a job at random hosts until one accepts it.
func (p *powerPlay) submitTo(c *http.Client, j *soakJob, body []byte, r *rand.Rand) {
	unknown := false
	for range powerTries {
		p.mu.Lock()
		h := p.hosts[r.Intn(len(p.hosts))]
		p.mu.Unlock()
		status, _ := p.call(c, h, http.MethodPost, j.id, body)
		p.mu.Lock()
		p.answers[status]++
		if status == http.StatusOK && !p.dark && (p.armAny || p.armed == h) {
			p.powerOff(fmt.Sprintf("%s has accepted job %s", h.ip, j.id))
		}
		p.mu.Unlock()
		if status == http.StatusOK {
			p.soak.mu.Lock()
			j.accepted = time.Now()
			p.soak.mu.Unlock()
			return
		}
		unknown = unknown || status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout || status == http.StatusInternalServerError
		time.Sleep(100 * time.Millisecond)
	}
	p.soak.mu.Lock()
	j.refused = !unknown
	p.soak.mu.Unlock()
}

// storeTrouble sets the modes of the proxies before a loss of power, and returns a description.
func (p *powerPlay) storeTrouble(owner, added *soakHost) string {
	hosts := p.inUse()
	refusal := func() storeMode { return modeBusy + storeMode(p.rand.Intn(int(modeSilent))) }
	set := func(h *soakHost, w storeMode) {
		p.proxies[h].pause.Store(int64(p.between(100*time.Millisecond, 900*time.Millisecond)))
		p.proxies[h].mode.Store(int64(w))
	}
	var text string
	switch k := p.rand.Intn(7); k {
	case 0:
		text = "store fine"
	case 1:
		w := refusal()
		set(owner, w)
		text = "store " + modeNames[w] + " for the owner"
	case 2:
		w := refusal()
		for _, h := range hosts {
			if h != added {
				set(h, w)
			}
		}
		text = "store " + modeNames[w] + " for all but the added host"
	case 3, 4, 5:
		w := modeSlow + storeMode(k-3)
		for _, h := range hosts {
			set(h, w)
		}
		text = "store " + modeNames[w] + " for all"
	case 6:
		for _, h := range hosts {
			w := storeMode(p.rand.Intn(int(storeModes)))
			set(h, w)
			text += " " + h.ip + " " + modeNames[w]
		}
		text = "store:" + text
	}
	return text
}

// powerLoss plays hosts that come and go, a store in trouble and a loss of power of all
// hosts, and waits until those that remain are back.
func (p *powerPlay) powerLoss() string {
	added := p.add()
	time.Sleep(p.between(800*time.Millisecond, 2*time.Second))
	list := p.inUse()
	owner := p.owner()
	removed := list[p.rand.Intn(len(list))]
	if removed != added && len(list) > 3 && p.rand.Intn(2) == 0 {
		sig := os.Signal(syscall.SIGTERM)
		if p.rand.Intn(3) == 0 {
			sig = syscall.SIGKILL
		}
		p.remove(removed, sig)
		time.Sleep(p.between(0, 1500*time.Millisecond))
	} else {
		removed = nil
	}
	text := p.storeTrouble(owner, added)
	time.Sleep(p.between(0, 1500*time.Millisecond))
	p.mu.Lock()
	switch k := p.rand.Intn(5); {
	case k == 0:
		p.armAny = true
		text += "; after any acceptance"
	case k == 1 && removed != nil:
		p.armed = removed
		text += "; after an acceptance by the removed host"
	case k <= 2 && added != nil:
		p.armed = added
		text += "; after an acceptance by the added host"
	case k == 3:
		p.armed = owner
		text += "; after an acceptance by the owner"
	default:
		text += "; at a random moment"
		d := p.between(5*time.Millisecond, 400*time.Millisecond)
		time.AfterFunc(d, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.powerOff("timed")
		})
	}
	p.mu.Unlock()
	p.event("%s", text)
	select {
	case why := <-p.struck:
		text += ": " + why
	case <-time.After(powerWait):
		p.mu.Lock()
		p.powerOff("no such acceptance")
		p.mu.Unlock()
		text += ": " + <-p.struck
	}
	if added != nil && p.rand.Intn(2) == 0 {
		p.remove(added, syscall.SIGKILL)
		text += "; the added host stays away"
	}
	heal := p.between(0, 2*time.Second)
	p.later(heal, func() {
		for _, d := range p.proxies {
			d.mode.Store(int64(modeOpen))
		}
	})
	for _, h := range p.inUse() {
		p.later(p.between(300*time.Millisecond, 1500*time.Millisecond), func() { p.startHost(h) })
	}
	p.faults.Wait()
	p.mu.Lock()
	p.dark = false
	p.mu.Unlock()
	p.event("power is back")
	return text
}

// TestAcceptedJobIsKnownAfterAllHostsLosePower ends all hosts right after an acceptance, with a store in trouble.
func TestAcceptedJobIsKnownAfterAllHostsLosePower(t *testing.T) {
	for seed := *powerFirst; seed < *powerFirst+int64(*powerSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playPowerLoss(t, seed) })
	}
}

func playPowerLoss(t *testing.T, seed int64) {
	p := newPowerPlay(t, seed)
	t.Cleanup(p.soak.killAll)
	time.Sleep(2 * time.Second) // all hosts have found each other
	for n := range powerClients {
		p.clients.Add(1)
		go p.powerClient(n, seed*1000+int64(n))
	}
	var texts []string
	for range *powerRounds {
		texts = append(texts, p.powerLoss())
	}
	close(p.stop)
	again := make(chan struct{}) // the fleet's time passes on
	go p.tick(again)
	p.clients.Wait()
	p.soak.hosts = p.inUse()
	accepted, open := p.checkKnown()
	close(again)
	p.checkRefused()
	t.Logf("seed %d: %s; answers to submissions %v; %d jobs accepted, %d open %s after the end", seed, strings.Join(texts, " | "), p.answers, accepted, open, plannedFinish)
	if len(p.findings) > 0 {
		t.Errorf("seed %d: %d findings, first %q", seed, len(p.findings), p.findings[:min(len(p.findings), 10)])
		p.keep(seed, p.findings)
	}
	assert.Check(t, accepted > 50, "the play has exercised little")
}
