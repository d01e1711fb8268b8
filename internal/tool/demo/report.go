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

// Report is the result of a run.
type Report struct {
	Name           string          `json:"name"`
	Jobs           map[string]int  `json:"jobs"`  // final state -> number
	Calls          map[string]int  `json:"calls"` // outcome -> number
	Refused        int             `json:"refusedJobs"`
	Starts         int             `json:"taskStarts"`
	WaitMs         []Quantiles     `json:"waitMs"`  // by kind
	CallMs         []Quantiles     `json:"callMs"`  // idempotent and at-most-once calls
	Packing        float64         `json:"packing"` // fraction of the CPU capacity in use while load was generated
	Appends        float64         `json:"appendsPerS"`
	Control        float64         `json:"controlBytesPerS"` // sent by each entry host for membership and configuration
	WorkBytes      float64         `json:"workBytesPerS"`    // sent by each entry host for jobs and calls
	CPU            float64         `json:"cpuCores"`         // of the whole process, stand-ins and callers included
	MeanShareError float64         `json:"shareMeanPP"`      // mean deviation of a team from its fair share while the fleet is full, in percentage points
	MaxShareError  float64         `json:"shareWorstPP"`     // largest deviation, in percentage points
	FullFraction   float64         `json:"fullShare"`        // fraction of the time in which the fleet was full
	ZoneChangeUse  float64         `json:"azWork"`           // utilization of the capacity in service during zone changes
	Verdicts       []judge.Verdict `json:"verdicts"`
}

// Quantiles summarizes a distribution, in milliseconds.
type Quantiles struct {
	Class string `json:"of"`
	Count int64  `json:"count"`
	P50   int64  `json:"p50"`
	P99   int64  `json:"p99"`
	P999  int64  `json:"p999"`
	Max   int64  `json:"max"`
}

// Violated reports whether a guarantee was violated.
func (r *Report) Violated() bool {
	for _, v := range r.Verdicts {
		if !v.Held() {
			return true
		}
	}
	return false
}

// counters holds the cumulative resource use at a point in time.
type counters struct {
	at        time.Time
	appends   int64
	peerBytes peerBytes
	cpu       time.Duration
}

func (c *cell) counters() counters {
	k := counters{at: time.Now(), appends: c.log.Stats().Appends}
	for _, s := range c.slots {
		k.peerBytes = k.peerBytes.plus(s.peerBytes())
	}
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err == nil {
		k.cpu = time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
	}
	return k
}

func (r *run) report(before, after counters) *Report {
	h := &r.history
	secs := after.at.Sub(before.at).Seconds()
	rep := &Report{
		Name: r.cfg.Scenario.Cell.Name, Jobs: map[string]int{}, Calls: map[string]int{}, Refused: r.generator.refused,
		Starts: len(h.Runs), Appends: float64(after.appends-before.appends) / secs,
		Control:   float64(after.peerBytes.control-before.peerBytes.control) / secs / float64(len(r.c.slots)),
		WorkBytes: float64(after.peerBytes.work-before.peerBytes.work) / secs / float64(len(r.c.slots)),
		CPU:       (after.cpu - before.cpu).Seconds() / secs,
		Verdicts:  judge.CheckAll(*h),
	}
	for _, j := range h.Jobs {
		rep.Jobs[string(j.Final)]++
	}
	for _, c := range h.Calls {
		rep.Calls[string(c.Ran)]++
	}
	rep.WaitMs, rep.CallMs = startDelays(h), callLatencies(h)
	start, end := before.at.UnixMilli(), after.at.UnixMilli()
	rep.Packing = cpuUsed(h.Runs, start, end) / (float64(totalCPU(h)) * float64(end-start))
	rep.measureFairness(r, start, end)
	rep.ZoneChangeUse = zoneChangeUtilization(h, end)
	return rep
}

const (
	maxRecordedMs     = 3_600_000
	significantDigits = 3
)

func quantiles(class string, values []int64) Quantiles {
	h := hdrhistogram.New(1, maxRecordedMs, significantDigits)
	for _, v := range values {
		_ = h.RecordValue(min(max(v, 1), maxRecordedMs))
	}
	return Quantiles{
		Class: class, Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

// startDelays summarizes, for each kind, the time from sending a job to the start
// of its first task.
func startDelays(h *judge.History) []Quantiles {
	first := map[string]int64{}
	for _, r := range h.Runs {
		id, _, _ := strings.Cut(r.Task, "/")
		if at, ok := first[id]; !ok || r.StartMs < at {
			first[id] = r.StartMs
		}
	}
	byKind := map[jobs.Kind][]int64{}
	for _, j := range h.Jobs {
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

func callLatencies(h *judge.History) []Quantiles {
	var idempotent, once []int64
	for _, c := range h.Calls {
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

// cpuUsed returns the CPU use of the runs between start and end, in millicores
// times milliseconds.
func cpuUsed(runs []fakes.Run, start, end int64) float64 {
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

func totalCPU(h *judge.History) int64 {
	var sum int64
	for _, c := range h.Capacity {
		sum += c.CPU
	}
	return sum
}

const (
	sampleIntervalMs = 100
	fullThreshold    = 0.9 // fraction of the CPU capacity in use from which the fleet counts as full
)

// measureFairness measures how far each team is from its fair share while the
// fleet is full. A team's demand is the CPU of its running and waiting tasks.
func (rep *Report) measureFairness(r *run, start, end int64) {
	h := &r.history
	total := float64(totalCPU(h))
	weights := map[string]int64{}
	for _, t := range r.cfg.Scenario.Teams {
		weights[t.Name] = t.Share
	}
	demands := demandsOf(h, r)
	samples, full := 0, 0
	var sum float64
	for at := start; at < end; at += sampleIntervalMs {
		used, wants := usageAt(demands, at)
		samples++
		var all float64
		for _, u := range used {
			all += u
		}
		if all < fullThreshold*total {
			continue
		}
		full++
		var teamDemands []queue.TeamDemand
		for team, w := range weights {
			limit := float64(h.Limits[team].CPU)
			teamDemands = append(teamDemands, queue.TeamDemand{Team: team, Weight: w, Demand: min(wants[team], limit) / total})
		}
		fair := queue.FairShares(teamDemands)
		var deviation float64
		for team := range weights {
			d := math.Abs(used[team]/total-fair[team]) * 100
			deviation += d
			rep.MaxShareError = max(rep.MaxShareError, d)
		}
		sum += deviation / float64(len(weights))
	}
	if full > 0 {
		rep.MeanShareError = sum / float64(full)
	}
	rep.FullFraction = float64(full) / float64(max(samples, 1))
}

// taskDemand describes one task from its submission to the end of its last run.
type taskDemand struct {
	team      string
	cpu       float64
	sentMs    int64
	lastEndMs int64
	runs      [][2]int64 // start and end of each run, in milliseconds since 1970
}

// demandsOf returns the tasks of the accepted jobs that ran at least once.
func demandsOf(h *judge.History, r *run) []taskDemand {
	runs := map[string][]fakes.Run{}
	for _, x := range h.Runs {
		runs[x.Task] = append(runs[x.Task], x)
	}
	var list []taskDemand
	for _, j := range h.Jobs {
		for i := 0; ; i++ {
			rs, ok := runs[jobs.Ref{Job: j.ID, Index: i}.String()]
			if !ok {
				break
			}
			d := taskDemand{team: j.Team, cpu: float64(rs[0].CPU), sentMs: j.SentMs}
			for _, x := range rs {
				end := x.EndMs
				if end == 0 {
					end = h.EndMs
				}
				d.runs = append(d.runs, [2]int64{x.StartMs, end})
				d.lastEndMs = max(d.lastEndMs, end)
			}
			list = append(list, d)
		}
	}
	return list
}

// usageAt returns, in millicores, the CPU of each team's running tasks and of its
// running and waiting tasks at a point in time.
func usageAt(list []taskDemand, at int64) (used, wants map[string]float64) {
	used, wants = map[string]float64{}, map[string]float64{}
	for _, d := range list {
		if at < d.sentMs || at >= d.lastEndMs {
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

const zoneReturnMs = 2000 // time after the return of a zone that is included

// zoneChangeUtilization returns the CPU use from the removal of each zone until
// shortly after its return, as a fraction of the capacity in service.
func zoneChangeUtilization(h *judge.History, end int64) float64 {
	azOf := map[string]string{}
	for _, r := range h.Runs {
		azOf[r.Worker] = r.Az
	}
	var used, available float64
	for _, s := range h.AzOut {
		back := s.EndMs
		if back == 0 {
			back = end
		}
		until := min(back+zoneReturnMs, end)
		used += cpuUsed(h.Runs, s.StartMs, until)
		for w, c := range h.Capacity {
			if azOf[w] == s.Name {
				available += float64(c.CPU) * float64(max(until-back, 0))
				continue
			}
			available += float64(c.CPU) * float64(until-s.StartMs)
		}
	}
	if available == 0 {
		return 0
	}
	return used / available
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "\n%s: %d task starts; jobs %s; %d jobs refused; calls %s\n\n", r.Name, r.Starts, formatCounts(r.Jobs), r.Refused, formatCounts(r.Calls))
	fmt.Fprintf(w, "%-20s %8s %8s %8s %8s %8s\n", "waiting, ms", "count", "p50", "p99", "p99.9", "max")
	for _, q := range append(append([]Quantiles(nil), r.WaitMs...), r.CallMs...) {
		fmt.Fprintf(w, "%-20s %8d %8d %8d %8d %8d\n", q.Class, q.Count, q.P50, q.P99, q.P999, q.Max)
	}
	fmt.Fprintf(w, "\npacking              %.1f%% of the processors in use\n", r.Packing*100)
	fmt.Fprintf(w, "control cost         %.0f appends/s; each entry host sends %.0f bytes/s for control and %.0f for work; %.2f cores for the whole process\n",
		r.Appends, r.Control, r.WorkBytes, r.CPU)
	if r.FullFraction > 0 {
		fmt.Fprintf(w, "share fairness       %.1f percentage points off on average, %.1f at worst, while full (%.0f%% of the time)\n", r.MeanShareError, r.MaxShareError, r.FullFraction*100)
	} else {
		fmt.Fprintln(w, "share fairness       the fleet was never full")
	}
	if r.ZoneChangeUse > 0 {
		fmt.Fprintf(w, "zone changes         %.1f%% of the capacity in service was used meanwhile\n", r.ZoneChangeUse*100)
	} else {
		fmt.Fprintln(w, "zone changes         none")
	}
	fmt.Fprintln(w)
	for _, v := range r.Verdicts {
		word := "held"
		if !v.Held() {
			word = "BROKEN"
		}
		fmt.Fprintf(w, "%-7s %s (%d records checked)\n", word, v.Guarantee, v.Checked)
		for _, ev := range v.Violations {
			fmt.Fprintln(w, "          "+ev)
		}
	}
}

func formatCounts(m map[string]int) string {
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
