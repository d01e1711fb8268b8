package demo

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/queue"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/tool/judge"
)

// Report is the outcome of a run.
type Report struct {
	Name      string          `json:"name"`
	Jobs      map[string]int  `json:"jobs"`  // final state -> number
	Calls     map[string]int  `json:"calls"` // outcome -> number
	Refused   int             `json:"refusedJobs"`
	Starts    int             `json:"taskStarts"`
	WaitMs    []Quantiles     `json:"waitMs"` // by kind
	CallMs    []Quantiles     `json:"callMs"`
	Packing   float64         `json:"packing"`          // share of the capacity in use while work arrived
	Appends   float64         `json:"appendsPerS"`      //
	Control   float64         `json:"controlBytesPerS"` // sent by each entry host for membership and configuration
	WorkBytes float64         `json:"workBytesPerS"`    // sent by each entry host for jobs and calls
	CPU       float64         `json:"cpuCores"`         // of the whole process, stand-ins and callers included
	ShareMean float64         `json:"shareMeanPP"`      // mean distance of a team from its share while full, in percentage points
	ShareMax  float64         `json:"shareWorstPP"`     //
	FullFor   float64         `json:"fullShare"`        // part of the time in which the fleet was full
	AzWork    float64         `json:"azWork"`           // work done while zones left and returned, as a share of the capacity in service
	Verdicts  []judge.Verdict `json:"verdicts"`
}

// Quantiles summarizes a distribution, in milliseconds.
type Quantiles struct {
	Of    string `json:"of"`
	Count int64  `json:"count"`
	P50   int64  `json:"p50"`
	P99   int64  `json:"p99"`
	P999  int64  `json:"p999"`
	Max   int64  `json:"max"`
}

// Broken reports whether a promise was broken.
func (r *Report) Broken() bool {
	for _, v := range r.Verdicts {
		if !v.Held() {
			return true
		}
	}
	return false
}

// costs is what had been spent at an instant.
type costs struct {
	at      time.Time
	appends int64
	sent    sent
	cpu     time.Duration
}

func (c *cell) costs() costs {
	k := costs{at: time.Now(), appends: c.log.Stats().Appends}
	for _, s := range c.slots {
		k.sent = k.sent.plus(s.sent())
	}
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err == nil {
		k.cpu = time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
	}
	return k
}

func (r *run) report(before, after costs) *Report {
	e := &r.ev
	secs := after.at.Sub(before.at).Seconds()
	rep := &Report{
		Name: r.cfg.Scene.Cell.Name, Jobs: map[string]int{}, Calls: map[string]int{}, Refused: r.load.refused,
		Starts: len(e.Runs), Appends: float64(after.appends-before.appends) / secs,
		Control:   float64(after.sent.control-before.sent.control) / secs / float64(len(r.c.slots)),
		WorkBytes: float64(after.sent.work-before.sent.work) / secs / float64(len(r.c.slots)),
		CPU:       (after.cpu - before.cpu).Seconds() / secs,
		Verdicts:  judge.All(*e),
	}
	for _, j := range e.Jobs {
		rep.Jobs[string(j.Final)]++
	}
	for _, c := range e.Calls {
		rep.Calls[string(c.Ran)]++
	}
	rep.WaitMs, rep.CallMs = waits(e), callTimes(e)
	start, end := before.at.UnixMilli(), after.at.UnixMilli()
	rep.Packing = work(e.Runs, start, end) / (float64(capacity(e)) * float64(end-start))
	rep.shares(r, start, end)
	rep.AzWork = azWork(e, end)
	return rep
}

const (
	maxRecordedMs = 3_600_000
	digits        = 3
)

func quantiles(of string, values []int64) Quantiles {
	h := hdrhistogram.New(1, maxRecordedMs, digits)
	for _, v := range values {
		_ = h.RecordValue(min(max(v, 1), maxRecordedMs))
	}
	return Quantiles{
		Of: of, Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

// waits measures, for each kind, the time from sending a job to the start of
// its first task.
func waits(e *judge.Evidence) []Quantiles {
	first := map[string]int64{}
	for _, r := range e.Runs {
		id, _, _ := strings.Cut(r.Task, "/")
		if at, ok := first[id]; !ok || r.StartMs < at {
			first[id] = r.StartMs
		}
	}
	byKind := map[jobs.Kind][]int64{}
	for _, j := range e.Jobs {
		if at, ok := first[string(j.ID)]; ok {
			byKind[j.Kind] = append(byKind[j.Kind], at-j.SentMs)
		}
	}
	var list []Quantiles
	for _, k := range jobs.Kinds {
		if len(byKind[k]) > 0 {
			list = append(list, quantiles(string(k), byKind[k]))
		}
	}
	return list
}

func callTimes(e *judge.Evidence) []Quantiles {
	var idempotent, once []int64
	for _, c := range e.Calls {
		switch {
		case c.Ran != fault.Done:
		case c.Idempotent:
			idempotent = append(idempotent, c.EndMs-c.SentMs)
		default:
			once = append(once, c.EndMs-c.SentMs)
		}
	}
	var list []Quantiles
	if len(idempotent) > 0 {
		list = append(list, quantiles("idempotent call", idempotent))
	}
	if len(once) > 0 {
		list = append(list, quantiles("at-most-once call", once))
	}
	return list
}

// work sums millicores times milliseconds that ran within a span.
func work(runs []fakes.Run, start, end int64) float64 {
	sum := 0.0
	for _, r := range runs {
		stop := r.EndMs
		if stop == 0 {
			stop = end
		}
		if d := min(stop, end) - max(r.StartMs, start); d > 0 {
			sum += float64(r.CPU) * float64(d)
		}
	}
	return sum
}

func capacity(e *judge.Evidence) int64 {
	var sum int64
	for _, c := range e.Capacity {
		sum += c.CPU
	}
	return sum
}

const (
	sampleMs  = 100
	fullShare = 0.9 // part of the capacity in use above which the fleet counts as full
)

// shares measures how far each team is from its fair share while the fleet is
// full. A team's wish is what of its jobs runs or waits at the instant.
func (rep *Report) shares(r *run, start, end int64) {
	e := &r.ev
	total := float64(capacity(e))
	weights := map[string]int64{}
	for _, t := range r.cfg.Scene.Teams {
		weights[t.Name] = t.Share
	}
	demands := demandsOf(e, r)
	samples, full := 0, 0
	var sum float64
	for at := start; at < end; at += sampleMs {
		used, wants := usage(demands, at)
		samples++
		var all float64
		for _, u := range used {
			all += u
		}
		if all < fullShare*total {
			continue
		}
		full++
		var claims []queue.Claim
		for team, w := range weights {
			limit := float64(e.Limits[team].CPU)
			claims = append(claims, queue.Claim{Team: team, Weight: w, Wants: min(wants[team], limit) / total})
		}
		fair := queue.FairShares(claims)
		var distance float64
		for team := range weights {
			d := math.Abs(used[team]/total-fair[team]) * 100
			distance += d
			rep.ShareMax = max(rep.ShareMax, d)
		}
		sum += distance / float64(len(weights))
	}
	if full > 0 {
		rep.ShareMean = sum / float64(full)
	}
	rep.FullFor = float64(full) / float64(max(samples, 1))
}

// demand is one task's time in the system.
type demand struct {
	team   string
	cpu    float64
	sentMs int64
	goneMs int64 // its last end
	runs   [][2]int64
}

// demandsOf lists every accepted job's tasks with the times at which they ran.
func demandsOf(e *judge.Evidence, r *run) []demand {
	runs := map[string][]fakes.Run{}
	for _, x := range e.Runs {
		runs[x.Task] = append(runs[x.Task], x)
	}
	var list []demand
	for _, j := range e.Jobs {
		for i := 0; ; i++ {
			rs, ok := runs[jobs.Ref{Job: j.ID, Index: i}.String()]
			if !ok {
				break
			}
			d := demand{team: j.Team, cpu: float64(rs[0].CPU), sentMs: j.SentMs}
			for _, x := range rs {
				end := x.EndMs
				if end == 0 {
					end = e.EndMs
				}
				d.runs = append(d.runs, [2]int64{x.StartMs, end})
				d.goneMs = max(d.goneMs, end)
			}
			list = append(list, d)
		}
	}
	return list
}

// usage returns what each team runs, and what it runs or waits for, at an
// instant, in millicores.
func usage(list []demand, at int64) (used, wants map[string]float64) {
	used, wants = map[string]float64{}, map[string]float64{}
	for _, d := range list {
		if at < d.sentMs || at >= d.goneMs {
			continue
		}
		wants[d.team] += d.cpu
		for _, span := range d.runs {
			if span[0] <= at && at < span[1] {
				used[d.team] += d.cpu
				break
			}
		}
	}
	return used, wants
}

const azAfterMs = 2000 // the return of a zone counts for this long

// azWork returns the work done from each zone's leaving until shortly after
// its return, as a share of what the zones in service could do.
func azWork(e *judge.Evidence, end int64) float64 {
	azOf := map[string]string{}
	for _, r := range e.Runs {
		azOf[r.Worker] = r.Az
	}
	var done, could float64
	for _, s := range e.AzOut {
		back := s.EndMs
		if back == 0 {
			back = end
		}
		until := min(back+azAfterMs, end)
		done += work(e.Runs, s.StartMs, until)
		for w, c := range e.Capacity {
			if azOf[w] == s.Name {
				could += float64(c.CPU) * float64(max(until-back, 0))
				continue
			}
			could += float64(c.CPU) * float64(until-s.StartMs)
		}
	}
	if could == 0 {
		return 0
	}
	return done / could
}

// Print writes the report for people.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "\n%s: %d task starts; jobs %s; %d jobs refused; calls %s\n\n", r.Name, r.Starts, counts(r.Jobs), r.Refused, counts(r.Calls))
	fmt.Fprintf(w, "%-20s %8s %8s %8s %8s %8s\n", "waiting, ms", "count", "p50", "p99", "p99.9", "max")
	for _, q := range append(append([]Quantiles(nil), r.WaitMs...), r.CallMs...) {
		fmt.Fprintf(w, "%-20s %8d %8d %8d %8d %8d\n", q.Of, q.Count, q.P50, q.P99, q.P999, q.Max)
	}
	fmt.Fprintf(w, "\npacking              %.1f%% of the processors in use\n", r.Packing*100)
	fmt.Fprintf(w, "control cost         %.0f appends/s; each entry host sends %.0f bytes/s for control and %.0f for work; %.2f cores for the whole process\n",
		r.Appends, r.Control, r.WorkBytes, r.CPU)
	if r.FullFor > 0 {
		fmt.Fprintf(w, "share fairness       %.1f points off on average, %.1f at worst, while full (%.0f%% of the time)\n", r.ShareMean, r.ShareMax, r.FullFor*100)
	} else {
		fmt.Fprintln(w, "share fairness       the fleet was never full")
	}
	if r.AzWork > 0 {
		fmt.Fprintf(w, "zone changes         %.1f%% of the capacity in service was used meanwhile\n", r.AzWork*100)
	} else {
		fmt.Fprintln(w, "zone changes         none")
	}
	fmt.Fprintln(w)
	for _, v := range r.Verdicts {
		word := "held"
		if !v.Held() {
			word = "BROKEN"
		}
		fmt.Fprintf(w, "%-7s %s (%d facts)\n", word, v.Promise, v.Checked)
		for _, ev := range v.Evidence {
			fmt.Fprintln(w, "          "+ev)
		}
	}
}

func counts(m map[string]int) string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	parts := make([]string, len(keys))
	for i, k := range keys {
		parts[i] = fmt.Sprintf("%d %s", m[k], k)
	}
	return strings.Join(parts, ", ")
}
