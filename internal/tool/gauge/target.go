package gauge

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// The users' size in about two years, from their first letter.
const (
	workers       = 3200
	startsPerS    = 1700.0 // at the peak
	running       = 18_000
	jobsADay      = 13_000
	teams         = 94
	zones         = 17
	editsADay     = 5400
	hostFailures  = 46  // a day
	hostsReplaced = 310 // a day
)

// Assumed, since the letter does not say it.
const (
	daemons      = 40  // entry hosts, 8 a region
	groups       = 51  // 3 an availability zone
	appendBudget = 250 // a second for all streams, "several hundred" less a reserve
	shapesInUse  = 200 // shapes that wait in one group at the peak
	renewEveryS  = 2.0
	secondsADay  = 86_400.0
	queuedAtPeak = 100_000
	tailRecords  = 5000 // records behind a snapshot at most
	claimS       = 2.5  // suspicion of a dead owner and its claim
	keysInUse    = 2000 // edits whose objects still exist
)

// Budgets of one daemon for control, from the letter.
const (
	budgetCores = 0.011
	budgetBytes = 4000.0 // a second
	budgetMem   = 256e6
)

// Line is one line of the page: a cost at the target size.
type Line struct {
	Role      string
	What      string
	Value     float64
	Unit      string
	Budget    float64 // 0 for none
	From      string  // the arithmetic
	Mechanism string
}

// Fits reports whether the line is within its budget.
func (l Line) Fits() bool { return l.Budget == 0 || l.Value <= l.Budget }

// find returns the named slope. A missing one is a broken file.
func find(slopes []Slope, name string) Slope {
	i := slices.IndexFunc(slopes, func(s Slope) bool { return s.Name == name })
	if i < 0 {
		panic(fmt.Sprintf("gauge: slope %q is missing", name))
	}
	return slopes[i]
}

// Lines works out the costs at the target size.
func Lines(slopes []Slope) []Line {
	at := func(name string, x float64) float64 { return find(slopes, name).At(x) }
	perX := func(name string) float64 { return find(slopes, name).PerX }
	workersInGroup := float64(workers) / groups
	workersOfDaemon := float64(workers) / daemons
	startsOfDaemon := startsPerS / daemons
	tasksOnWorker := float64(running) / workers
	interval := float64(groups) / appendBudget
	startsInBatch := startsPerS / groups * interval
	startNs := at("choose the next item", shapesInUse) + at("reserve room", workersInGroup) + perX("apply a batch")
	renewalNs := at("take an inventory", tasksOnWorker)
	description := at("description of an entry host", teams)
	return []Line{
		{"log writer", "interval between two appends of a group", interval, "s", 0.5, "groups / append budget", "group commit; the interval follows the budget"},
		{"log writer", "bytes appended by a daemon at the peak", at("log bytes of a batch", startsInBatch) / interval * groups / daemons, "bytes/s", 0, "bytes of a batch at peak / interval, groups / daemons", "msgpack arrays; work's own traffic, not control"},
		{"log writer", "an urgent start's wait for the log", 2 * interval, "s", 1.4, "two appends: acceptance and intent", "group commit"},
		{"rack owner", "processor for starts at the peak", startsOfDaemon * startNs / 1e9, "cores", budgetCores, "starts of a daemon x (choose + reserve + apply)", "shapes instead of items; one group's workers only"},
		{"rack owner", "processor for renewals", workersOfDaemon / renewEveryS * renewalNs / 1e9, "cores", budgetCores, "workers of a daemon / 2 s x take an inventory", "one renewal a worker, held until something changes"},
		{"rack owner", "bytes of renewals of quiet workers, both ways", workersOfDaemon / renewEveryS * quietRenewalBytes(), "bytes/s", budgetBytes, "workers of a daemon / 2 s x renewal with nothing new", "one renewal a worker; a worker with nothing new says just that"},
		{"rack owner", "bytes of inventories at the peak", 2 * startsOfDaemon * at("renewal of a worker", tasksOnWorker), "bytes/s", 0, "starts and ends of a daemon x renewal", "work's own traffic: an inventory follows a change"},
		{"rack owner", "memory of jobs at the peak", at("memory of jobs", float64(queuedAtPeak+jobsADay)/groups) * groups / daemons, "bytes", budgetMem, "jobs queued and of the last day, by group", "a group remembers its own jobs only"},
		{"membership", "heartbeats", at("control bytes of an idle entry host", daemons), "bytes/s", budgetBytes, "measured line at 40 daemons", "one random peer an interval; heartbeats apart from descriptions"},
		{"membership", "descriptions with every team active", 2 * (daemons - 1) * description, "bytes/s", budgetBytes, "2 a second from each other daemon", "pulled by version"},
		{"configuration", "memory", at("memory of the configuration", keysInUse), "bytes", budgetMem, "objects in use", "one immutable state, shared maps"},
		{"configuration", "processor", editsADay / secondsADay * at("apply an edit", keysInUse) / 1e9, "cores", budgetCores, "edits a second x apply", "pure function of the stream"},
		{"team-limit grants", "appends", teams * editsADay / secondsADay, "appends/s", appendBudget, "assumed: a grant moves as often as an edit is made, for each team", "parts of a limit, moved with demand"},
		{"snapshots", "size of a group's snapshot", at("snapshot of a group", float64(queuedAtPeak+jobsADay)/groups), "bytes", 4 << 20, "jobs of a group", "one record; the log stand-in takes 4 MiB"},
		{"log reader", "takeover: replay of a group's stream", (tailRecords * perX("apply a batch")) / 1e9, "s", 5, "records behind a snapshot x apply", "snapshots every 5,000 records"},
		{"log reader", "takeovers a day", (hostFailures + hostsReplaced) * float64(groups) / daemons, "a day", 0, "if every failing host were an entry host", "rendezvous hashing moves only its groups"},
		{"caller side", "memory of an idle daemon", at("memory of an idle entry host with its share of the stand-ins", daemons), "bytes", budgetMem, "measured line at 40 daemons, stand-ins included", ""},
		{"caller side", "processor of an idle daemon", at("processor time of an idle entry host with its share of the stand-ins", daemons) / 1e9, "cores", budgetCores, "measured line at 40 daemons, stand-ins included", ""},
		{"worst minute", "an az of a 17th of the fleet goes: tasks to start again", float64(running) / zones, "tasks", 0, "running / zones", "leases run out after 8 s; homes start again by class"},
		{"worst minute", "time to start them at the peak rate", float64(running) / zones / startsPerS, "s", 0, "tasks / peak starts", "the peak rate is what the rest is sized for"},
		{"worst minute", "all entry hosts of an az replaced at once: groups without an owner", float64(groups) / zones, "groups", 0, "groups of the az", "the next hosts in the order claim them, 1.5 s apart"},
		{"worst minute", "time until they are owned again", claimS, "s", 5, "suspicion 2 s, claim and inventory", "epochs in the log, tokens at the workers"},
		{"worst minute", "the log returns after an hour: appends of a daemon in the first second", groups / interval / daemons, "appends/s", appendBudget / daemons, "one batch a group at a time", "at most one append of a group under way"},
	}
}

// Load reads slopes from the output of a run.
func Load(data []byte) (slopes []Slope, err error) {
	err = json.Unmarshal(data, &slopes)
	return slopes, err
}

// Write writes the tables of the page in Markdown.
func Write(w io.Writer, slopes []Slope) {
	fmt.Fprintln(w, "### Measured\n\n| slope | measured at | fitted line | spread |\n| --- | --- | --- | --- |")
	for _, s := range slopes {
		var xs []string
		for _, p := range s.Points {
			xs = append(xs, number(p.X))
		}
		fmt.Fprintf(w, "| %s, %s | %s %s | %s + %s each | %.0f%% |\n",
			s.Name, s.Y, strings.Join(xs, ", "), s.X, number(s.Base), number(s.PerX), s.Spread*100)
	}
	fmt.Fprintln(w, "\n### Worked out\n\n| role | cost at the target size | value | budget | fits | from | mechanism |\n| --- | --- | --- | --- | --- | --- | --- |")
	for _, l := range Lines(slopes) {
		budget, fits := "-", "-"
		if l.Budget > 0 {
			budget, fits = number(l.Budget)+" "+l.Unit, "yes"
		}
		if !l.Fits() {
			fits = "**no**"
		}
		fmt.Fprintf(w, "| %s | %s | %s %s | %s | %s | %s | %s |\n",
			l.Role, l.What, number(l.Value), l.Unit, budget, fits, l.From, l.Mechanism)
	}
}

// number formats a value with three significant digits.
func number(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 1000 || v <= -1000:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
