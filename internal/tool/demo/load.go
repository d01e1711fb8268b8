package demo

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/tool/caller"
	"lagooncourse/internal/tool/judge"
	"lagooncourse/internal/tool/scene"
)

// load sends the scenario's work and remembers what the callers were told.
type load struct {
	c     *cell
	start time.Time

	mu        sync.Mutex
	jobs      []judge.Submitted
	calls     []judge.Called
	services  []jobs.ID
	cancelled map[jobs.ID]bool
	refused   int // jobs that were refused for good
	next      int // host for the next request
	wg        sync.WaitGroup
}

func nowMs() int64 { return time.Now().UnixMilli() }

// pick returns the next ready host, as a balancer would, or any host if none
// is ready.
func (l *load) pick() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range l.c.slots {
		l.next = (l.next + 1) % len(l.c.slots)
		if l.c.slots[l.next].ready.Load() {
			return l.next
		}
	}
	return l.next
}

func (l *load) client(host int, team string) *caller.Client {
	return caller.New(caller.Config{API: []string{l.c.slots[host].api()}, Key: team + "." + secret})
}

// run sends all work until ctx ends and waits for the requests in flight.
func (l *load) run(ctx context.Context) {
	for i, w := range l.c.scene.Work {
		l.arrive(ctx, uint64(i), w.Every, w.From, w.Most, func(r *rand.Rand, n int) { l.submit(w, runTime(r, w.RunFor), n) })
	}
	for i, k := range l.c.scene.Calls {
		l.arrive(ctx, uint64(len(l.c.scene.Work)+i), k.Every, 0, math.MaxInt, func(_ *rand.Rand, n int) { l.call(k, n) })
	}
	<-ctx.Done()
	l.wg.Wait()
}

// arrive calls fn at random instants with the given mean distance. The
// sequence depends on the seed only.
func (l *load) arrive(ctx context.Context, salt uint64, every, from time.Duration, most int, fn func(*rand.Rand, int)) {
	r := rand.New(rand.NewPCG(uint64(l.c.scene.Cell.Seed), salt))
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		next := l.start.Add(from)
		for n := 0; n < most; n++ {
			next = next.Add(time.Duration(r.ExpFloat64() * float64(every)))
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(next)):
			}
			rr := rand.New(rand.NewPCG(r.Uint64(), salt))
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				fn(rr, n)
			}()
		}
	}()
}

const (
	runSpread  = 0.8 // sigma of the logarithm of run times
	maxStretch = 3   // longest run time, as a multiple of the mean
)

// runTime draws a heavy-tailed run time with the given mean.
func runTime(r *rand.Rand, mean time.Duration) time.Duration {
	f := math.Exp(r.NormFloat64()*runSpread - runSpread*runSpread/2)
	return time.Duration(min(f, maxStretch) * float64(mean))
}

const (
	submitBound = 15 * time.Second // how long a submitter tries
	submitRetry = 200 * time.Millisecond
)

// submit sends one job until it is accepted or refused for good. The
// submission id makes repetitions harmless.
func (l *load) submit(w scene.Work, run time.Duration, n int) {
	runMs := max(run.Milliseconds(), 1)
	if w.Kind == string(jobs.Service) {
		runMs = 0
	}
	spec := w.Spec(runMs).WithSubmission(fmt.Sprintf("%s-%d", w.Name, n))
	ctx, cancel := context.WithTimeout(context.Background(), submitBound)
	defer cancel()
	sent := nowMs()
	for ctx.Err() == nil {
		j, err := l.client(l.pick(), w.Team).Submit(ctx, spec)
		if err == nil {
			l.accepted(judge.Submitted{
				ID: j.ID, Team: w.Team, Kind: spec.Kind, Idempotent: spec.Idempotent, SentMs: sent, AcceptedMs: nowMs(),
			})
			return
		}
		if code := fault.From(err).Code; code == fault.Denied || code == fault.NoKey || code == fault.Infeasible {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(submitRetry):
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
}

func (l *load) accepted(s judge.Submitted) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, s)
	if s.Kind == jobs.Service {
		l.services = append(l.services, s.ID)
	}
}

// call sends one call, once.
func (l *load) call(k scene.Calls, n int) {
	host := l.pick()
	id := fmt.Sprintf("%s-%d", k.Name, n)
	ctx, cancel := context.WithTimeout(context.Background(), k.Timeout+time.Second)
	defer cancel()
	c := judge.Called{ID: id, Team: k.Team, Idempotent: k.Idempotent, SentMs: nowMs(), Host: host}
	a, err := l.client(host, k.Team).Call(ctx, caller.Call{
		Service: l.c.scene.Cell.Service, ID: id, Idempotent: k.Idempotent, Timeout: k.Timeout, Body: []byte(id),
	})
	c.EndMs, c.Ran, c.Whole = nowMs(), fault.RanOf(err), strings.HasSuffix(string(a.Body), `"echo":`+strconv.Quote(id)+"}")
	if err != nil {
		c.Code = fault.From(err).Code
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

// cancel cancels every job of a work that has not ended.
func (l *load) cancel(work string) {
	var team string
	for _, w := range l.c.scene.Work {
		if w.Name == work {
			team = w.Team
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitBound)
	defer cancel()
	list, err := l.client(l.pick(), team).List(ctx, "")
	if err != nil {
		return
	}
	for _, a := range list.Jobs {
		if a.Spec.Name == work && !a.Ended() {
			l.cancelJob(ctx, team, a.ID)
		}
	}
}

func (l *load) cancelJob(ctx context.Context, team string, id jobs.ID) {
	l.mu.Lock()
	l.cancelled[id] = true
	l.mu.Unlock()
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		_, _ = caller.New(caller.Config{API: []string{l.c.slots[l.pick()].api()}, MaxAttempts: 20}).Cancel(ctx, id)
	}()
}

const (
	settlePoll    = 200 * time.Millisecond
	statusWorkers = 16
)

// settle cancels the services and waits until every accepted job has ended or
// is parked, up to d. It notes the final state of each.
func (l *load) settle(ctx context.Context, d time.Duration) {
	l.mu.Lock()
	services := append([]jobs.ID(nil), l.services...)
	l.mu.Unlock()
	for _, id := range services {
		l.cancelJob(ctx, "", id)
	}
	deadline := time.Now().Add(d)
	for l.refresh(ctx) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(settlePoll)
	}
}

// refresh asks for the state of every job that is not known to have ended and
// returns how many are left.
func (l *load) refresh(ctx context.Context) int {
	work := make(chan int)
	var wg sync.WaitGroup
	for range statusWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range work {
				l.refreshOne(ctx, i)
			}
		}()
	}
	for i := range l.jobs {
		if !ended(l.jobs[i].Final) {
			work <- i
		}
	}
	close(work)
	wg.Wait()
	left := 0
	for i := range l.jobs {
		if !ended(l.jobs[i].Final) {
			left++
		}
	}
	return left
}

func ended(s jobs.State) bool { return s.Final() || s == jobs.Parked }

// refreshOne asks as an operator, since a team's key may be withdrawn.
func (l *load) refreshOne(ctx context.Context, i int) {
	op := caller.New(caller.Config{API: []string{l.c.slots[l.pick()].api()}})
	if a, err := op.Status(ctx, l.jobs[i].ID); err == nil {
		l.jobs[i].Final = a.State
	}
}
