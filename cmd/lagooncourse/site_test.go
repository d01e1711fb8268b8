package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"math"
	"math/rand"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/platform"
	"lagooncourse/platform/mock"
)

// The plays of a site run entry hosts as processes in front of a fleet of full size, under
// the kinds of jobs that the users of a deployment send: with advice, gangs, failing runs
// and hopeless jobs, teams with quotas, and a load that fills most of the fleet.
var (
	siteSeeds = flag.Int("site.seeds", 1, "number of seeds of the plays of a site")
	siteFirst = flag.Int64("site.first", 1, "first seed of the plays of a site")
	siteTime  = flag.Duration("site.time", 12*time.Second, "duration of the traffic of a play of a site")
	siteName  = flag.String("site.name", "", "name of the only site to play")
	siteOnly  = flag.String("site.trouble", "", "name of the only trouble to play")
	siteLoad  = flag.Float64("site.load", 1, "factor of the rate of jobs")
	siteLag   = flag.Duration("site.lag", 0, "mean delay of the answers of workers, in a site's plays")
	siteStore = flag.Duration("site.store", 0, "mean delay of the answers of the store")
	sitePower = flag.Duration("site.power", 0, "time before the end of the traffic at which all hosts lose power, after the troubles; 0 for none")
	siteRest  = flag.Duration("site.gap", 2500*time.Millisecond, "mean time between two troubles")
)

// dist is a quantity of a job: log-normal with a limit.
type dist struct{ mean, spread, most float64 }

func (d dist) draw(r *rand.Rand) float64 {
	return min(d.mean*math.Exp(d.spread*r.NormFloat64()-d.spread*d.spread/2), d.most)
}

// siteKind is a kind of jobs.
type siteKind struct {
	queue                     soakQueue
	perS                      float64 // jobs
	steps, width, cpu, mem    dist
	workMs                    dist
	gang                      float64 // share of the steps
	off                       float64 // the declared run time is off by up to this share
	hopeless, cancelled, sent float64 // shares of the jobs; sent: handed in twice
}

// site is a deployment.
type site struct {
	name     string
	hosts    int
	capacity jobs.Size
	workers  int
	teams    int
	quota    float64 // maximum of a team, in shares of the fleet by weight
	fail     float64 // share of the runs that fail
	kinds    []siteKind
}

func rule(baseMs, workerMs float64, validMs int64, allowed float64) *fakes.AdviceRule {
	return &fakes.AdviceRule{AdviceTiming: sched.AdviceTiming{BaseMs: baseMs, WorkerMs: workerMs, ValidMs: validMs}, Allowed: allowed}
}

var sites = []site{
	{name: "numbering", hosts: 8, capacity: jobs.Size{CPU: 32_000, Mem: 65_536}, workers: 48, teams: 6, quota: 1.9, fail: 0.03, kinds: []siteKind{
		{queue: soakQueue{name: "block", attempts: 4, priority: 1, slack: 2.2, targetMs: 1000, advice: rule(450, 6.5, 1500, 0.3)}, perS: 1.65, steps: dist{1.2, 0.4, 3}, width: dist{6.4, 0.6, 32},
			cpu: dist{9000, 0.4, 15000}, mem: dist{13000, 0.5, 27000}, workMs: dist{5000, 0.5, 12000}, gang: 1, off: 0.5, hopeless: 0.01},
		{queue: soakQueue{name: "month", attempts: 4, priority: 2, slack: 4, targetMs: 3000, advice: rule(66, 0.94, 1500, 0.45)}, perS: 5.44, steps: dist{1.5, 0.4, 3.8}, width: dist{10, 0.8, 60},
			cpu: dist{1800, 0.45, 5400}, mem: dist{2600, 0.6, 7700}, workMs: dist{2700, 0.5, 6800}, off: 0.2, cancelled: 0.05, sent: 0.2},
		{queue: soakQueue{name: "stamp", attempts: 4, priority: 0, slack: 1.5, targetMs: 250, advice: rule(7.4, 0.11, 1500, 0.7)}, perS: 48.2, steps: dist{1, 0, 1}, width: dist{2, 0.8, 12},
			cpu: dist{2600, 0.45, 7700}, mem: dist{3700, 0.6, 11000}, workMs: dist{640, 0.5, 1600}, gang: 0.3, off: 0.2, hopeless: 0.03},
	}},
	{name: "care", hosts: 6, capacity: jobs.Size{CPU: 64_000, Mem: 131_072}, workers: 48, teams: 6, quota: 1.9, fail: 0.01, kinds: []siteKind{
		{queue: soakQueue{name: "stone", attempts: 2, priority: 1, slack: 2.2, targetMs: 1000, advice: rule(430, 6.1, 2000, 0.3)}, perS: 1.32, steps: dist{1.2, 0.4, 3}, width: dist{8, 0.8, 48},
			cpu: dist{18000, 0.4, 30000}, mem: dist{19000, 0.5, 38000}, workMs: dist{5000, 0.5, 12000}, gang: 1, off: 0.9, hopeless: 0.03},
		{queue: soakQueue{name: "patina", attempts: 2, priority: 2, slack: 4, targetMs: 3000, advice: rule(66, 0.94, 1500, 0.45)}, perS: 5.43, steps: dist{1.5, 0.4, 3.8}, width: dist{10, 0.8, 60},
			cpu: dist{3600, 0.45, 10800}, mem: dist{5200, 0.6, 15000}, workMs: dist{2700, 0.5, 6800}, off: 0.2, cancelled: 0.05, sent: 0.2},
		{queue: soakQueue{name: "photo", attempts: 3, priority: 0, slack: 1.5, targetMs: 250, advice: rule(7.4, 0.11, 1500, 0.7)}, perS: 30.8, steps: dist{1, 0, 1}, width: dist{2, 0.8, 12},
			cpu: dist{5100, 0.45, 15000}, mem: dist{7400, 0.6, 22000}, workMs: dist{1000, 0.5, 2500}, gang: 0.3, off: 0.2, hopeless: 0.03},
	}},
}

// config returns what a site is played on.
func (st site) config(seed int64) soakConfig {
	cfg := soakConfig{hosts: st.hosts, cuts: true, fleet: fakes.SimFleetConfig{Workers: st.workers, Capacity: st.capacity, Rack: 8, Azs: []string{"x", "y", "z"}, Service: "s", Seed: seed}}
	for _, k := range st.kinds {
		cfg.queues = append(cfg.queues, k.queue)
	}
	total := 0
	for i := range st.teams {
		total += st.teams - i
	}
	for i := range st.teams {
		share := st.quota * float64(st.teams-i) / float64(total) * float64(st.workers)
		cfg.teams = append(cfg.teams, soakTeam{name: fmt.Sprintf("t%d", i), weight: 10 * (st.teams - i), maximum: jobs.Size{CPU: int64(share * float64(st.capacity.CPU)), Mem: int64(share * float64(st.capacity.Mem))}})
	}
	return cfg
}

// sitePlay is one play of a site.
type sitePlay struct {
	*soak
	site    site
	conns   []*http.Client
	next    int
	burst   []float64 // factor of the rate of each kind
	killers map[string]bool
	poison  float64        // share of hopeless jobs beside that of the kinds
	deadly  map[string]int // jobs to come, by queue, whose first task crashes its workers
	late    int            // jobs that were open at the end
	traffic sync.WaitGroup
}

// job draws a job. declared is what its client hands in.
func (p *sitePlay) job(n int, k siteKind, r *rand.Rand) (real, declared sched.Spec) {
	total := 0
	for _, t := range p.cfg.teams {
		total += t.weight
	}
	team, at := p.cfg.teams[0], r.Intn(total)
	for _, t := range p.cfg.teams {
		if team = t; at < t.weight {
			break
		}
		at -= t.weight
	}
	real = sched.Spec{ID: fmt.Sprintf("%08x%08x", p.seed&0xffffffff, n), Queue: k.queue.name, Team: team.name, Payload: "p"}
	for i := range max(1, int(k.steps.draw(r)+0.5)) {
		s := sched.Step{
			Count: max(1, int(k.width.draw(r)+0.5)), Size: jobs.Size{CPU: int64(k.cpu.draw(r)), Mem: int64(k.mem.draw(r))},
			EstimateMs: max(50, int64(k.workMs.draw(r))), Gang: r.Float64() < k.gang,
		}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		if s.Gang {
			s.Count = min(s.Count, p.widest(s.Size, k, team))
		}
		real.Steps = append(real.Steps, s)
	}
	declared = real
	declared.Steps = slices.Clone(real.Steps)
	for i := range declared.Steps {
		declared.Steps[i].EstimateMs = int64(float64(declared.Steps[i].EstimateMs) * (1 - k.off + 2*k.off*r.Float64()))
	}
	return real, declared
}

// widest returns how many tasks a gang of a kind may have so that half of the team's maximum
// has room for it, and half of the workers that advice allows.
func (p *sitePlay) widest(size jobs.Size, k siteKind, team soakTeam) int {
	n, most := 0, 0
	for used := size; used.FitsIn(p.site.capacity); used = used.Plus(size) {
		n++
	}
	for used := size; used.Plus(used).FitsIn(team.maximum); used = used.Plus(size) {
		most++
	}
	return max(1, min(most, int(k.queue.advice.Allowed*float64(n*p.site.workers))/2))
}

const (
	siteTries  = 5
	siteConns  = 48
	siteStatus = 2 * time.Second // between two requests for the state of a job
)

// user hands in one job, asks for its state until it has ended, and cancels some.
func (p *sitePlay) user(n int, k siteKind, r *rand.Rand) {
	real, declared := p.job(n, k, r)
	p.fleet.RegisterJob(real)
	if r.Float64() < k.hopeless+p.poison {
		p.fleet.SetHopeless(real.ID)
	}
	j := &soakJob{id: real.ID, spec: real}
	p.mu.Lock()
	p.jobs = append(p.jobs, j)
	if p.deadly[k.queue.name] > 0 {
		p.deadly[k.queue.name]--
		p.events = append(p.events, fmt.Sprintf("%d ms: job %s is deadly", p.nowMs(), j.id))
		p.fleet.SetDeadly(sched.Ref{Job: j.id}.String(), fakes.DeadlyTask{AfterMs: 200 + r.Int63n(1300), DownMs: 1000 + r.Int63n(3000)})
		p.killers[j.id] = true
	}
	deadly := p.killers[j.id]
	p.mu.Unlock()
	at, c := r.Intn(len(p.hosts)), p.conns[r.Intn(len(p.conns))]
	body := mock.JobBody(declared)
	unknown := false
	for try := 0; try < siteTries && j.accepted.IsZero(); try++ {
		status, _, header := p.callAs(c, p.hosts[at%len(p.hosts)], http.MethodPost, real, body)
		pause := time.Duration(200+r.Intn(400)) * time.Millisecond
		p.mu.Lock()
		switch {
		case status/100 == 2:
			j.accepted = time.Now()
		case status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout || status == http.StatusInternalServerError:
			unknown = true
		default:
			if s, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil {
				pause = time.Duration(s * float64(time.Second))
			}
		}
		p.mu.Unlock()
		if status/100 != 2 {
			at++
			time.Sleep(pause)
		}
	}
	p.mu.Lock()
	j.refused = !unknown && j.accepted.IsZero()
	p.mu.Unlock()
	if j.accepted.IsZero() {
		return
	}
	if r.Float64() < k.sent {
		p.callAs(c, p.hosts[(at+1)%len(p.hosts)], http.MethodPost, real, body)
	}
	if r.Float64() < k.cancelled {
		time.Sleep(time.Duration(r.Intn(3000)) * time.Millisecond)
		p.cancel(c, j, &at)
		return
	}
	wait := siteStatus
	if deadly {
		wait /= 10 // its verdict has to be seen in time
	}
	for j.ended == "" {
		select {
		case <-p.stop:
			return
		case <-time.After(wait):
		}
		p.ask(c, j, &at)
	}
}

// send lets users come for a time.
func (p *sitePlay) send(d time.Duration, r *rand.Rand) {
	const tick = 20 * time.Millisecond
	due := make([]float64, len(p.site.kinds))
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		for i, k := range p.site.kinds {
			p.mu.Lock()
			due[i] += k.perS * tick.Seconds() * *siteLoad * p.burst[i]
			p.mu.Unlock()
			for ; due[i] >= 1; due[i]-- {
				p.next++
				n, seed := p.next, r.Int63()
				p.traffic.Add(1)
				go func() {
					defer p.traffic.Done()
					p.user(n, k, rand.New(rand.NewSource(seed)))
				}()
			}
		}
	}
}

// siteTrouble is a kind of trouble that a site may meet.
type siteTrouble struct {
	name string
	play func(*sitePlay)
}

// some returns a share of the indexes below n, at least one.
func (p *sitePlay) some(n int, share float64) []int {
	return p.rand.Perm(n)[:max(1, int(share*float64(n)+0.5))]
}

var siteTroubles = []siteTrouble{
	{"hosts killed", func(p *sitePlay) {
		for _, i := range p.some(len(p.hosts), 0.3) {
			p.restart(p.hosts[i], syscall.SIGKILL, 3500*time.Millisecond)
		}
	}},
	{"half of the hosts lose power", func(p *sitePlay) {
		for _, i := range p.some(len(p.hosts), 0.55) {
			p.restart(p.hosts[i], syscall.SIGKILL, 2*time.Second)
		}
	}},
	{"all hosts lose power", func(p *sitePlay) {
		for _, h := range p.hosts {
			p.restart(h, syscall.SIGKILL, p.between(800*time.Millisecond, 1500*time.Millisecond))
		}
	}},
	{"hosts stopped in turn", func(p *sitePlay) {
		p.later(0, func() {
			for _, i := range p.some(len(p.hosts), 0.5) {
				h := p.hosts[i]
				cmd := h.process()
				p.kill(h, syscall.SIGTERM)
				p.later(0, func() { p.awaitGone(h, cmd); p.startHost(h) })
				time.Sleep(1300 * time.Millisecond)
			}
		})
	}},
	{"owner frozen", func(p *sitePlay) { p.suspend(p.owner(), 4*time.Second) }},
	{"owner killed", func(p *sitePlay) { p.restart(p.owner(), syscall.SIGKILL, 3*time.Second) }},
	{"owner stopped", func(p *sitePlay) { p.restart(p.owner(), syscall.SIGTERM, 300*time.Millisecond) }},
	{"settings", func(p *sitePlay) {
		for _, i := range p.some(len(p.hosts), 0.6) {
			p.reload(p.hosts[i])
		}
	}},
	{"store down", func(p *sitePlay) {
		p.storeFaults(fakes.StoreFaults{Down: true, Silent: p.rand.Intn(2) == 0}, 4500*time.Millisecond)
		p.expireEntries(3)
	}},
	{"store slow", func(p *sitePlay) {
		p.storeFaults(fakes.StoreFaults{Delay: 200 * time.Millisecond}, 4500*time.Millisecond)
	}},
	{"store loses answers", func(p *sitePlay) { p.storeFaults(fakes.StoreFaults{Lost: 0.35}, 4500*time.Millisecond) }},
	{"store forgets", func(p *sitePlay) {
		p.event("history expires")
		p.store.Compact(platform.KeyedTopic("jobs"))
		p.store.Compact(platform.TopicWorkers)
	}},
	{"workers crash", func(p *sitePlay) {
		for _, i := range p.some(len(p.execs), 0.14) {
			p.crash(i, 4500*time.Millisecond)
		}
	}},
	{"workers crash again and again", func(p *sitePlay) {
		for n := range 8 {
			for _, i := range p.some(len(p.execs), 0.05) {
				p.later(time.Duration(n)*500*time.Millisecond, func() { p.crash(i, 450*time.Millisecond) })
			}
		}
	}},
	{"workers cut off", func(p *sitePlay) {
		for _, i := range p.some(len(p.execs), 0.17) {
			p.silence(p.fleet.IDs()[i], 5500*time.Millisecond)
		}
	}},
	{"workers fail", func(p *sitePlay) {
		for _, i := range p.some(len(p.execs), 0.085) {
			id := p.fleet.IDs()[i]
			p.event("worker %s fails all runs", id)
			p.fleet.SetGrey(id, true)
			p.later(6500*time.Millisecond, func() { p.fleet.SetGrey(id, false) })
		}
	}},
	{"workers busy", func(p *sitePlay) { p.grey(mock.ModeBusy) }},
	{"workers shed", func(p *sitePlay) { p.grey(mock.ModeShed) }},
	{"workers reset connections", func(p *sitePlay) { p.grey(mock.ModeReset) }},
	{"workers mute", func(p *sitePlay) { p.grey(mock.ModeMute) }},
	{"workers slow", func(p *sitePlay) {
		for _, i := range p.some(len(p.execs), 0.17) {
			id := p.fleet.IDs()[i]
			p.event("worker %s slow", id)
			p.fleet.SetSlow(id, 6.5)
			p.later(7*time.Second, func() { p.fleet.SetSlow(id, 1) })
		}
	}},
	{"workers stand still", func(p *sitePlay) {
		for _, i := range p.some(len(p.execs), 0.1) {
			id := p.fleet.IDs()[i]
			p.event("runs on worker %s stand still", id)
			p.fleet.SetStill(id, true)
			p.later(5500*time.Millisecond, func() { p.fleet.SetStill(id, false) })
		}
	}},
	{"workers leave", func(p *sitePlay) {
		for _, i := range p.some(len(p.execs), 0.065) {
			id := p.fleet.IDs()[i]
			p.event("worker %s drains", id)
			p.fleet.SetDraining(id, 2500)
			p.writeEntries()
			p.later(2500*time.Millisecond, func() { p.fleet.SetDraining(id, 0); p.crash(i, 3*time.Second) })
		}
	}},
	{"deadly", func(p *sitePlay) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.deadly[p.site.kinds[p.rand.Intn(len(p.site.kinds))].queue.name] += 2
	}},
	{"quota", func(p *sitePlay) {
		i := p.rand.Intn(len(p.cfg.teams))
		p.mu.Lock()
		team := &p.cfg.teams[i]
		old := team.maximum
		team.maximum = jobs.Size{CPU: old.CPU * 3 / 4, Mem: old.Mem * 3 / 4}
		p.mu.Unlock()
		p.event("quota of %s lower", team.name)
		p.configure()
		p.later(5*time.Second, func() { p.mu.Lock(); team.maximum = old; p.mu.Unlock(); p.configure() })
	}},
	{"hosts cut off from the store", func(p *sitePlay) {
		modes := []storeMode{modeBusy, modeMany, modeReset, modeSilent, modeSlow, modeLost, modeLate}
		mode := modes[p.rand.Intn(len(modes))]
		for _, i := range p.some(len(p.hosts), 0.35) {
			p.cutStore(i, mode, 9*time.Second)
		}
	}},
	{"owner cut off from the store", func(p *sitePlay) {
		p.cutStore(slices.Index(p.hosts, p.owner()), modeSilent, 4*time.Second)
	}},
	{"late orders", func(p *sitePlay) {
		p.orderFaults(fakes.SimFleetFaults{Late: 0.055, Fail: p.site.fail}, 5500*time.Millisecond)
	}},
	{"answers lost", func(p *sitePlay) {
		p.orderFaults(fakes.SimFleetFaults{Lost: 0.025, Fail: p.site.fail}, 5500*time.Millisecond)
	}},
	{"burst of large jobs", func(p *sitePlay) { p.rush(0, 1.8) }},
	{"burst of small jobs", func(p *sitePlay) { p.rush(len(p.site.kinds)-1, 2) }},
	{"hopeless jobs", func(p *sitePlay) {
		p.event("hopeless jobs")
		p.mu.Lock()
		p.poison = 0.06
		p.mu.Unlock()
		p.later(3*time.Second, func() { p.mu.Lock(); p.poison = 0; p.mu.Unlock() })
	}},
}

// grey makes some workers answer in a mode for a time.
func (p *sitePlay) grey(m mock.Mode) {
	for _, i := range p.some(len(p.execs), 0.085) {
		p.event("worker %s answers in mode %d", p.fleet.IDs()[i], m)
		end := p.disrupt(ofLink, p.fleet.IDs()[i])
		p.execs[i].SetMode(m)
		p.later(6500*time.Millisecond, func() { p.execs[i].SetMode(mock.ModeOpen); end() })
	}
}

// cutStore makes the store answer one host in a mode for a time.
func (p *sitePlay) cutStore(i int, m storeMode, d time.Duration) {
	end := p.disrupt(ofHost, p.hosts[i].ip)
	p.event("store of host %s in mode %s for %s", p.hosts[i].ip, modeNames[m], d)
	p.proxies[i].pause.Store(int64(200 * time.Millisecond))
	p.proxies[i].mode.Store(int64(m))
	p.later(d, func() { p.proxies[i].mode.Store(int64(modeOpen)); end() })
}

// rush multiplies the rate of a kind for a time.
func (p *sitePlay) rush(kind int, x float64) {
	p.event("burst of %s", p.site.kinds[kind].queue.name)
	p.mu.Lock()
	p.burst[kind] = x
	p.mu.Unlock()
	p.later(4*time.Second, func() { p.mu.Lock(); p.burst[kind] = 1; p.mu.Unlock() })
}

// random plays one trouble after the other.
func (p *sitePlay) random(end time.Time) {
	for time.Sleep(2 * time.Second); time.Now().Before(end); time.Sleep(p.between(*siteRest/2, *siteRest*3/2)) {
		x := siteTroubles[p.rand.Intn(len(siteTroubles))]
		if *siteOnly != "" {
			k := slices.IndexFunc(siteTroubles, func(x siteTrouble) bool { return x.name == *siteOnly })
			assert.Assert(p.t, *siteOnly == "none" || k >= 0, "no trouble %q", *siteOnly)
			if k < 0 {
				continue
			}
			x = siteTroubles[k]
		}
		p.event("trouble %q", x.name)
		x.play(p)
	}
}

// run plays the traffic beside the troubles, which have to return when it ends, and checks
// what clients and workers saw.
func (p *sitePlay) run(troubles func(*sitePlay, time.Time)) []string {
	p.fleet.SetFaults(fakes.SimFleetFaults{Fail: p.site.fail})
	time.Sleep(2 * time.Second) // all hosts have found each other
	p.traffic.Add(1)
	seed := p.rand.Int63()
	go func() {
		defer p.traffic.Done()
		p.send(*siteTime, rand.New(rand.NewSource(seed)))
	}()
	troubles(p, time.Now().Add(*siteTime))
	p.faults.Wait()
	p.heal()
	p.fleet.SetFaults(fakes.SimFleetFaults{Fail: p.site.fail})
	p.event("calm")
	time.Sleep(soakFinish)
	finishMs := p.nowMs()
	time.Sleep(lostIdle)
	close(p.stop)
	p.traffic.Wait()
	again := make(chan struct{}) // the fleet's time passes on
	go p.tick(again)
	defer close(again)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 16)
	for _, j := range p.jobs {
		if j.accepted.IsZero() {
			if j.refused && p.fleet.Started(j.id) {
				p.find("REFUSED: job %s has started, but all tries to hand it in were refused", j.id)
			}
			continue
		}
		if time.Since(j.accepted) > 100*time.Second {
			continue
		}
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			at := 0
			known := false
			for try := 0; try < siteTries && !known; try++ {
				known = p.ask(p.conns[0], j, &at)
			}
			if !known {
				p.find("LOST: the state of accepted job %s is not given", j.id)
			}
			if j.ended == "" && j.cancelling.IsZero() {
				p.mu.Lock()
				p.late++
				p.events = append(p.events, fmt.Sprintf("open: %s accepted at %d", j.id, p.ms(j.accepted)))
				p.mu.Unlock()
			}
			<-slots
		}()
	}
	wg.Wait()
	p.killAll()
	h := p.history()
	h.deadly, h.finishMs = p.killers, finishMs
	return slices.Concat(p.findings, h.check(), p.fleet.Violations())
}

func newSitePlay(t *testing.T, st site, seed int64) *sitePlay {
	log.SetOutput(io.Discard) // answers on connections that are not in use
	p := &sitePlay{soak: newSoakWith(t, st.config(seed)), site: st, killers: map[string]bool{}, deadly: map[string]int{}}
	t.Cleanup(p.killAll)
	for _, x := range p.execs {
		x.SetLag(*siteLag)
	}
	for _, d := range p.proxies {
		d.lag.Store(int64(*siteStore))
	}
	for range siteConns {
		p.conns = append(p.conns, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}})
	}
	for range st.kinds {
		p.burst = append(p.burst, 1)
	}
	return p
}

// siteHostsDown is the time for which all hosts are down after a loss of power.
const siteHostsDown = 1200 * time.Millisecond

// troubles plays random troubles, and a loss of power of all hosts if that is asked for.
func (p *sitePlay) troubles(end time.Time) {
	if *sitePower == 0 {
		p.random(end)
		return
	}
	at := end.Add(-*sitePower)
	p.random(at)
	time.Sleep(time.Until(at))
	p.event("all hosts lose power")
	for _, h := range p.hosts {
		p.restart(h, syscall.SIGKILL, siteHostsDown)
	}
	time.Sleep(time.Until(end))
}

// TestSites plays the sites; see the flags site.*.
func TestSites(t *testing.T) { playSites(t, (*sitePlay).troubles) }

// TestDeadlyTaskLeavesNoJobIdle guards against jobs that wait for the verdict on a task that crashes its workers.
func TestDeadlyTaskLeavesNoJobIdle(t *testing.T) {
	playSites(t, func(p *sitePlay, end time.Time) {
		time.Sleep(time.Until(end.Add(-deadlyLead)))
		p.mu.Lock()
		p.deadly[p.site.kinds[len(p.site.kinds)-1].queue.name]++
		p.mu.Unlock()
		time.Sleep(time.Until(end))
	})
}

// deadlyLead is the time before the end of the traffic at which a deadly job is due.
const deadlyLead = 2 * time.Second

func playSites(t *testing.T, troubles func(*sitePlay, time.Time)) {
	for _, st := range sites {
		if *siteName != "" && *siteName != st.name {
			continue
		}
		for seed := *siteFirst; seed < *siteFirst+int64(*siteSeeds); seed++ {
			t.Run(fmt.Sprintf("%s/%d", st.name, seed), func(t *testing.T) {
				p := newSitePlay(t, st, seed)
				findings := p.run(troubles)
				ended, accepted, refused := map[string]int{}, 0, 0
				for _, j := range p.jobs {
					if j.accepted.IsZero() {
						refused++
						continue
					}
					accepted++
					ended[j.ended]++
				}
				t.Logf("%d jobs accepted, %d not, ended %v, open %d, %d starts", accepted, refused, ended, p.late, p.fleet.Starts())
				if len(findings) > 0 {
					t.Errorf("%d findings, first %q", len(findings), findings[:min(len(findings), 12)])
				}
				if len(findings) > 0 || os.Getenv("SITE_KEEP") != "" {
					p.keep(seed, findings)
				}
			})
		}
	}
}
