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

// generator sends the scenario's jobs and calls and records their outcomes.
type generator struct {
	c     *cell
	start time.Time

	mu        sync.Mutex
	jobs      []judge.SubmittedJob
	calls     []judge.CallRecord
	services  []jobs.ID
	cancelled map[jobs.ID]bool
	refused   int // jobs refused with a permanent error, or not accepted in time
	lastHost  int // entry host of the latest request
	wg        sync.WaitGroup
}

func nowMs() int64 { return time.Now().UnixMilli() }

// nextHost selects the next ready entry host round-robin, or any entry host if
// none is ready.
func (l *generator) nextHost() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range l.c.slots {
		l.lastHost = (l.lastHost + 1) % len(l.c.slots)
		if l.c.slots[l.lastHost].ready.Load() {
			return l.lastHost
		}
	}
	return l.lastHost
}

func (l *generator) client(host int, team string) *caller.Client {
	return caller.New(caller.Config{API: []string{l.c.slots[host].api()}, Key: team + "." + keySecret})
}

// run generates load until ctx ends and waits for the requests in flight.
func (l *generator) run(ctx context.Context) {
	for i, w := range l.c.scenario.Work {
		l.generate(ctx, uint64(i), w.Every, w.StartAfter, w.MaxJobs, func(r *rand.Rand, n int) { l.submit(w, runTime(r, w.RunFor), n) })
	}
	for i, k := range l.c.scenario.Calls {
		l.generate(ctx, uint64(len(l.c.scenario.Work)+i), k.Every, 0, math.MaxInt, func(_ *rand.Rand, n int) { l.call(k, n) })
	}
	<-ctx.Done()
	l.wg.Wait()
}

// generate calls fn up to maxCount times at exponentially distributed intervals,
// beginning startAfter after the start of the run. The sequence of intervals
// depends only on the scenario's seed and the salt.
func (l *generator) generate(ctx context.Context, salt uint64, meanInterval, startAfter time.Duration, maxCount int, fn func(*rand.Rand, int)) {
	r := rand.New(rand.NewPCG(uint64(l.c.scenario.Cell.Seed), salt))
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		next := l.start.Add(startAfter)
		for n := 0; n < maxCount; n++ {
			next = next.Add(time.Duration(r.ExpFloat64() * float64(meanInterval)))
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
	runTimeSigma     = 0.8 // sigma of the logarithm of run times
	maxRunTimeFactor = 3   // longest run time, as a multiple of the mean
)

// runTime draws a log-normal run time around the given mean, at most
// maxRunTimeFactor times as long.
func runTime(r *rand.Rand, mean time.Duration) time.Duration {
	f := math.Exp(r.NormFloat64()*runTimeSigma - runTimeSigma*runTimeSigma/2)
	return time.Duration(min(f, maxRunTimeFactor) * float64(mean))
}

const (
	submitTimeout = 15 * time.Second // for all attempts to submit a job, and for listing jobs to cancel
	retryDelay    = 200 * time.Millisecond
)

// submit sends one job until it is accepted, is refused with a permanent error or
// the timeout passes. The submission ID makes retries idempotent.
func (l *generator) submit(w scene.Work, run time.Duration, n int) {
	runMs := max(run.Milliseconds(), 1)
	if w.Kind == string(jobs.Service) {
		runMs = 0
	}
	spec := w.Spec(runMs).WithSubmission(fmt.Sprintf("%s-%d", w.Name, n))
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	sent := nowMs()
	for ctx.Err() == nil {
		j, err := l.client(l.nextHost(), w.Team).Submit(ctx, spec)
		if err == nil {
			l.recordAccepted(judge.SubmittedJob{
				ID: j.ID, Team: w.Team, Kind: spec.Kind, Idempotent: spec.Idempotent, SentMs: sent, AcceptedMs: nowMs(),
			})
			return
		}
		if code := fault.From(err).Code; code == fault.Denied || code == fault.Unauthenticated || code == fault.Infeasible {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
}

func (l *generator) recordAccepted(s judge.SubmittedJob) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, s)
	if s.Kind == jobs.Service {
		l.services = append(l.services, s.ID)
	}
}

// call sends one call without retries and records its outcome.
func (l *generator) call(k scene.Calls, n int) {
	host := l.nextHost()
	id := fmt.Sprintf("%s-%d", k.Name, n)
	ctx, cancel := context.WithTimeout(context.Background(), k.Timeout+time.Second)
	defer cancel()
	c := judge.CallRecord{ID: id, Team: k.Team, Idempotent: k.Idempotent, SentMs: nowMs(), Host: host}
	a, err := l.client(host, k.Team).Call(ctx, caller.Call{
		Service: l.c.scenario.Cell.Service, ID: id, Idempotent: k.Idempotent, Timeout: k.Timeout, Body: []byte(id),
	})
	c.EndMs, c.Ran, c.Complete = nowMs(), fault.OutcomeOf(err), strings.HasSuffix(string(a.Body), `"echo":`+strconv.Quote(id)+"}")
	if err != nil {
		c.Code = fault.From(err).Code
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

// cancel cancels all unfinished jobs of a Work section.
func (l *generator) cancel(work string) {
	var team string
	for _, w := range l.c.scenario.Work {
		if w.Name == work {
			team = w.Team
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	list, err := l.client(l.nextHost(), team).List(ctx, "")
	if err != nil {
		return
	}
	for _, a := range list.Jobs {
		if a.Spec.Name == work && !a.Ended() {
			l.cancelJob(ctx, team, a.ID)
		}
	}
}

func (l *generator) cancelJob(ctx context.Context, team string, id jobs.ID) {
	l.mu.Lock()
	l.cancelled[id] = true
	l.mu.Unlock()
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		_, _ = caller.New(caller.Config{API: []string{l.c.slots[l.nextHost()].api()}, MaxAttempts: 20}).Cancel(ctx, id)
	}()
}

const (
	statePollInterval = 200 * time.Millisecond
	statusWorkers     = 16
)

// awaitFinalStates cancels the services, waits up to d until every accepted job
// has ended or is parked, and records the final state of each.
func (l *generator) awaitFinalStates(ctx context.Context, d time.Duration) {
	l.mu.Lock()
	services := append([]jobs.ID(nil), l.services...)
	l.mu.Unlock()
	for _, id := range services {
		l.cancelJob(ctx, "", id)
	}
	deadline := time.Now().Add(d)
	for l.refreshStates(ctx) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(statePollInterval)
	}
}

// refreshStates updates the state of every job that has not ended and returns how
// many remain.
func (l *generator) refreshStates(ctx context.Context) int {
	work := make(chan int)
	var wg sync.WaitGroup
	for range statusWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range work {
				l.refreshState(ctx, i)
			}
		}()
	}
	for i := range l.jobs {
		if !endedOrParked(l.jobs[i].Final) {
			work <- i
		}
	}
	close(work)
	wg.Wait()
	left := 0
	for i := range l.jobs {
		if !endedOrParked(l.jobs[i].Final) {
			left++
		}
	}
	return left
}

func endedOrParked(s jobs.State) bool { return s.Final() || s == jobs.Parked }

// refreshState updates one job's state. It uses operator access, because the
// team's key may have been withdrawn.
func (l *generator) refreshState(ctx context.Context, i int) {
	op := caller.New(caller.Config{API: []string{l.c.slots[l.nextHost()].api()}})
	if a, err := op.Status(ctx, l.jobs[i].ID); err == nil {
		l.jobs[i].Final = a.State
	}
}
