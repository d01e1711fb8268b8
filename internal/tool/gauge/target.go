package gauge

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Target size: the users' requirements for two years ahead.
const (
	workers             = 3200
	startsPerS          = 1700.0 // at the peak
	running             = 18_000 // tasks
	jobsPerDay          = 13_000
	teams               = 94
	zones               = 17
	editsPerDay         = 5400
	hostFailuresPerDay  = 46
	hostsReplacedPerDay = 310
)

// Assumptions about the target size, which the requirements leave open.
const (
	entryHosts       = 40  // entry hosts, 8 per region
	groups           = 51  // 3 per availability zone
	appendBudget     = 250 // appends per second over all streams; the requirement is "several hundred", minus a reserve
	waitingShapes    = 200 // distinct task shapes waiting in one group at the peak
	renewIntervalS   = 2.0
	secondsPerDay    = 86_400.0
	queuedAtPeak     = 100_000 // jobs
	maxReplayRecords = 5000    // maximum number of records after the last snapshot
	takeoverS        = 2.5     // time to suspect a dead owner and claim its group
	configObjects    = 2000    // configuration objects that exist
)

// Control overhead budgets of one daemon, from the requirements.
const (
	budgetCores = 0.011
	budgetBytes = 4000.0 // bytes sent per second
	budgetMem   = 256e6  // bytes
)

// Estimate is a cost at the target size, one row of the generated table.
type Estimate struct {
	Role      string
	What      string
	Value     float64
	Unit      string
	Budget    float64 // 0 for none
	From      string  // how the value is computed
	Mechanism string
}

// WithinBudget reports whether the value is within its budget.
func (l Estimate) WithinBudget() bool { return l.Budget == 0 || l.Value <= l.Budget }

// findSlope returns the named slope. It panics if the slope is missing.
func findSlope(slopes []Slope, name string) Slope {
	i := slices.IndexFunc(slopes, func(s Slope) bool { return s.Name == name })
	if i < 0 {
		panic(fmt.Sprintf("gauge: slope %q is missing", name))
	}
	return slopes[i]
}

// Estimates computes the costs at the target size.
func Estimates(slopes []Slope) []Estimate {
	at := func(name string, x float64) float64 { return findSlope(slopes, name).At(x) }
	perX := func(name string) float64 { return findSlope(slopes, name).PerX }
	workersInGroup := float64(workers) / groups
	workersOfDaemon := float64(workers) / entryHosts
	startsOfDaemon := startsPerS / entryHosts
	tasksOnWorker := float64(running) / workers
	interval := float64(groups) / appendBudget // seconds between two appends of a group
	startsInBatch := startsPerS / groups * interval
	startNs := at("choose the next item", waitingShapes) + at("reserve room", workersInGroup) + perX("apply a batch")
	renewalNs := at("take an inventory", tasksOnWorker)
	description := at("description of an entry host", teams)
	return []Estimate{
		{"log writer", "interval between two appends of a group", interval, "s", 0.5, "groups / append budget", "group commit; the interval follows the budget"},
		{"log writer", "bytes appended by a daemon at the peak", at("log bytes of a batch", startsInBatch) / interval * groups / entryHosts, "bytes/s", 0, "bytes of a batch at peak / interval, groups / daemons", "msgpack arrays; work's own traffic, not control"},
		{"log writer", "an urgent start's wait for the log", 2 * interval, "s", 1.4, "two appends: acceptance and intent", "group commit"},
		{"rack owner", "processor for starts at the peak", startsOfDaemon * startNs / 1e9, "cores", budgetCores, "starts of a daemon x (choose + reserve + apply)", "shapes instead of items; one group's workers only"},
		{"rack owner", "processor for renewals", workersOfDaemon / renewIntervalS * renewalNs / 1e9, "cores", budgetCores, "workers of a daemon / 2 s x take an inventory", "one renewal a worker, held until something changes"},
		{"rack owner", "bytes of renewals of quiet workers, both ways", workersOfDaemon / renewIntervalS * unchangedRenewalBytes(), "bytes/s", budgetBytes, "workers of a daemon / 2 s x renewal with nothing new", "one renewal a worker; a worker with nothing new says just that"},
		{"rack owner", "bytes of inventories at the peak", 2 * startsOfDaemon * at("renewal of a worker", tasksOnWorker), "bytes/s", 0, "starts and ends of a daemon x renewal", "work's own traffic: an inventory follows a change"},
		{"rack owner", "memory of jobs at the peak", at("memory of jobs", float64(queuedAtPeak+jobsPerDay)/groups) * groups / entryHosts, "bytes", budgetMem, "jobs queued and of the last day, by group", "a group remembers its own jobs only"},
		{"membership", "heartbeats", at("control bytes of an idle entry host", entryHosts), "bytes/s", budgetBytes, "measured line at 40 daemons", "one random peer an interval; heartbeats apart from descriptions"},
		{"membership", "descriptions with every team active", 2 * (entryHosts - 1) * description, "bytes/s", budgetBytes, "2 a second from each other daemon", "pulled by version"},
		{"configuration", "memory", at("memory of the configuration", configObjects), "bytes", budgetMem, "objects in use", "one immutable state, shared maps"},
		{"configuration", "processor", editsPerDay / secondsPerDay * at("apply an edit", configObjects) / 1e9, "cores", budgetCores, "edits a second x apply", "pure function of the stream"},
		{"team-limit grants", "appends", teams * editsPerDay / secondsPerDay, "appends/s", appendBudget, "assumed: a grant moves as often as an edit is made, for each team", "parts of a limit, moved with demand"},
		{"snapshots", "size of a group's snapshot", at("snapshot of a group", float64(queuedAtPeak+jobsPerDay)/groups), "bytes", 4 << 20, "jobs of a group", "one record; the log stand-in takes 4 MiB"},
		{"log reader", "takeover: replay of a group's stream", (maxReplayRecords * perX("apply a batch")) / 1e9, "s", 5, "records behind a snapshot x apply", "snapshots every 5,000 records"},
		{"log reader", "takeovers a day", (hostFailuresPerDay + hostsReplacedPerDay) * float64(groups) / entryHosts, "a day", 0, "if every failing host were an entry host", "rendezvous hashing moves only its groups"},
		{"caller side", "memory of an idle daemon", at("memory of an idle entry host with its share of the stand-ins", entryHosts), "bytes", budgetMem, "measured line at 40 daemons, stand-ins included", ""},
		{"caller side", "processor of an idle daemon", at("processor time of an idle entry host with its share of the stand-ins", entryHosts) / 1e9, "cores", budgetCores, "measured line at 40 daemons, stand-ins included", ""},
		{"worst minute", "an az of a 17th of the fleet goes: tasks to start again", float64(running) / zones, "tasks", 0, "running / zones", "leases run out after 8 s; homes start again by class"},
		{"worst minute", "time to start them at the peak rate", float64(running) / zones / startsPerS, "s", 0, "tasks / peak starts", "the peak rate is what the rest is sized for"},
		{"worst minute", "all entry hosts of an az replaced at once: groups without an owner", float64(groups) / zones, "groups", 0, "groups of the az", "the next hosts in the order claim them, 1.5 s apart"},
		{"worst minute", "time until they are owned again", takeoverS, "s", 5, "suspicion 2 s, claim and inventory", "epochs in the log, tokens at the workers"},
		{"worst minute", "the log returns after an hour: appends of a daemon in the first second", groups / interval / entryHosts, "appends/s", appendBudget / entryHosts, "one batch a group at a time", "at most one append of a group under way"},
	}
}

// Load parses slopes from the JSON output of a run.
func Load(data []byte) (slopes []Slope, err error) {
	err = json.Unmarshal(data, &slopes)
	return slopes, err
}

// Write writes the measured slopes and the estimates as Markdown tables.
func Write(w io.Writer, slopes []Slope) {
	fmt.Fprintln(w, "### Measured\n\n| slope | measured at | fitted line | spread |\n| --- | --- | --- | --- |")
	for _, s := range slopes {
		var xs []string
		for _, p := range s.Points {
			xs = append(xs, formatNumber(p.X))
		}
		fmt.Fprintf(w, "| %s, %s | %s %s | %s + %s each | %.0f%% |\n",
			s.Name, s.Y, strings.Join(xs, ", "), s.X, formatNumber(s.Base), formatNumber(s.PerX), s.Spread*100)
	}
	fmt.Fprintln(w, "\n### Worked out\n\n| role | cost at the target size | value | budget | fits | from | mechanism |\n| --- | --- | --- | --- | --- | --- | --- |")
	for _, l := range Estimates(slopes) {
		budget, fits := "-", "-"
		if l.Budget > 0 {
			budget, fits = formatNumber(l.Budget)+" "+l.Unit, "yes"
		}
		if !l.WithinBudget() {
			fits = "**no**"
		}
		fmt.Fprintf(w, "| %s | %s | %s %s | %s | %s | %s | %s |\n",
			l.Role, l.What, formatNumber(l.Value), l.Unit, budget, fits, l.From, l.Mechanism)
	}
}

// formatNumber formats a value with three significant digits, or without decimals
// from 1000 on.
func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 1000 || v <= -1000:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
