// Package lint checks a configuration of the operators before it is sent: errors, entries that
// can never match, limits that contradict each other, and what differs from the version in
// force.
//
// The store accepts any configuration that can be read, and hosts apply it within seconds. A
// queue that another one hides, or a timeout that is shorter than what a queue's steps wait
// for advice, shows only when callers fail.
//
// # Usage
//
//	findings := lint.Check(next)
//	changes := lint.Diff(current, next)
package lint

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	Invalid       Kind = "error"         // a value that no host can use
	NeverMatches  Kind = "neverMatches"  // an entry that has no effect
	Contradiction Kind = "contradiction" // two values that can't both be met
	Change        Kind = "change"        // a difference from the version in force
)

// Finding is one result, about one entry.
type Finding struct {
	Kind  Kind   `json:"kind"`
	Entry string `json:"entry"` // such as "queue r-1" or "team lab"
	Text  string `json:"text"`
}

// list collects findings.
type list []Finding

func (l *list) add(k Kind, entry, format string, args ...any) {
	*l = append(*l, Finding{Kind: k, Entry: entry, Text: fmt.Sprintf(format, args...)})
}

// Check returns what is wrong with a configuration. If it names no services, queues are not
// compared with them.
func Check(c ports.ClusterConfig) []Finding {
	var l list
	if c.Version <= 0 {
		l.add(Invalid, "version", "%d must be positive", c.Version)
	}
	checkQueues(&l, c.Queues, c.Services)
	checkTeams(&l, c.Teams)
	checkLimits(&l, c.Limits)
	return l
}

func queueEntry(q sched.Queue) string { return "queue " + q.Name }
func teamEntry(t ports.Team) string   { return "team " + t.Name }

func checkQueues(l *list, queues []sched.Queue, services []string) {
	byName, byPath := map[string]bool{}, map[string]string{}
	for _, q := range queues {
		entry := queueEntry(q)
		if q.Name == "" {
			l.add(Invalid, entry, "has no name")
		} else if byName[q.Name] {
			l.add(Invalid, entry, "is defined twice")
		}
		byName[q.Name] = true
		if q.Host == "" {
			l.add(NeverMatches, entry, "has no host name, so no request names it")
		}
		if !strings.HasPrefix(q.Prefix, "/") || !strings.HasSuffix(q.Prefix, "/") {
			l.add(Invalid, entry, "path prefix %q must begin and end with a slash", q.Prefix)
		}
		path := strings.ToLower(q.Host) + q.Prefix
		if other, ok := byPath[path]; ok {
			l.add(NeverMatches, entry, "has the host name and the prefix of queue %s, which is defined before it", other)
		} else {
			byPath[path] = q.Name
		}
		if len(services) > 0 && !slices.Contains(services, q.Service) {
			l.add(NeverMatches, entry, "names service %q, which is not defined, so nothing of it runs", q.Service)
		}
		checkQueueValues(l, q)
	}
}

func checkQueueValues(l *list, q sched.Queue) {
	entry := queueEntry(q)
	for _, v := range []struct {
		name  string
		value float64
		least float64
	}{
		{"priority", float64(q.Priority), 0}, {"maximum attempts", float64(q.MaxAttempts), 1}, {"slack factor", q.Slack, 0},
		{"target latency", float64(q.TargetMs), 0}, {"timeout", float64(q.TimeoutMs), 0},
	} {
		if v.value < v.least {
			l.add(Invalid, entry, "%s %v must be at least %v", v.name, v.value, v.least)
		}
	}
	if q.Slack >= 0 && q.Slack < 1 {
		l.add(Contradiction, entry, "slack factor %v allows less time than the work takes", q.Slack)
	}
	a := q.Advice
	if a == nil {
		return
	}
	if a.BaseMs < 0 || a.WorkerMs < 0 || a.ValidMs <= 0 {
		l.add(Invalid, entry, "advice times must not be negative, and tickets must be valid for some time")
	} else if response := a.BaseMs + a.WorkerMs; response >= float64(a.ValidMs) {
		l.add(Contradiction, entry, "tickets are valid for %d ms, but a request about one worker takes %.0f ms", a.ValidMs, response)
	}
	if a.BaseMs >= 0 && q.TargetMs > 0 && a.BaseMs > float64(q.TargetMs) {
		l.add(Contradiction, entry, "advice takes %.0f ms, more than the target latency of %d ms", a.BaseMs, q.TargetMs)
	}
}

func checkTeams(l *list, teams []ports.Team) {
	byName, byKey := map[string]bool{}, map[string]string{}
	for _, t := range teams {
		entry := teamEntry(t)
		if t.Name == "" {
			l.add(Invalid, entry, "has no name")
		} else if byName[t.Name] {
			l.add(Invalid, entry, "is defined twice")
		}
		byName[t.Name] = true
		if len(t.Keys) == 0 {
			l.add(NeverMatches, entry, "has no key, so it can't submit to a queue that is not public")
		}
		for _, k := range t.Keys {
			if other, ok := byKey[k]; ok {
				l.add(Invalid, entry, "has a key of team %s", other)
			}
			byKey[k] = t.Name
			if k == "" {
				l.add(Invalid, entry, "has an empty key, which any request without one would match")
			}
		}
		if t.Weight < 0 {
			l.add(Invalid, entry, "weight %d must not be negative", t.Weight)
		}
		if t.Max.CPU < 0 || t.Max.Mem < 0 || t.Max.Accel < 0 {
			l.add(Invalid, entry, "maximum %s must not be negative", t.Max)
		}
		if t.Max.CPU > 0 && t.Max.CPU < oneCore {
			l.add(Contradiction, entry, "maximum of %d thousandths of a core admits hardly any task", t.Max.CPU)
		}
	}
}

// oneCore is one core in thousandths.
const oneCore = 1000

func checkLimits(l *list, v ports.Limits) {
	if v.BodyBytes < 0 || v.HeaderBytes < 0 || v.HeaderTimeoutMs < 0 || v.IdleTimeoutMs < 0 {
		l.add(Invalid, "limits", "must not be negative")
	}
	if v.BodyBytes > 0 && v.BodyBytes < minBodyBytes {
		l.add(Contradiction, "limits", "bodies of %d bytes leave no room for a job, whose payload alone may have 4,000", v.BodyBytes)
	}
	if v.IdleTimeoutMs > 0 && v.HeaderTimeoutMs > v.IdleTimeoutMs {
		l.add(Contradiction, "limits", "a head may take %d ms, longer than the %d ms for which a connection may be idle", v.HeaderTimeoutMs, v.IdleTimeoutMs)
	}
}

// minBodyBytes has room for the largest payload and one step.
const minBodyBytes = 4200

// Diff returns what differs between the version in force and the next one.
func Diff(current, next ports.ClusterConfig) []Finding {
	var l list
	if next.Version <= current.Version {
		l.add(Contradiction, "version", "%d is not above %d, which is in force, so hosts will ignore it", next.Version, current.Version)
	}
	diff(&l, current.Queues, next.Queues, queueEntry, diffQueue)
	diff(&l, current.Teams, next.Teams, teamEntry, diffTeam)
	if current.Limits != next.Limits {
		l.add(Change, "limits", "%+v, was %+v", next.Limits, current.Limits)
	}
	return l
}

// diff compares two lists by the names of their entries.
func diff[T any](l *list, current, next []T, entry func(T) string, compare func(l *list, entry string, a, b T)) {
	old := map[string]T{}
	for _, v := range current {
		old[entry(v)] = v
	}
	for _, v := range next {
		before, ok := old[entry(v)]
		delete(old, entry(v))
		if !ok {
			l.add(Change, entry(v), "is new")
			continue
		}
		compare(l, entry(v), before, v)
	}
	dropped := make([]string, 0, len(old))
	for name := range old {
		dropped = append(dropped, name)
	}
	sort.Strings(dropped)
	for _, name := range dropped {
		l.add(Change, name, "is dropped")
	}
}

func diffQueue(l *list, entry string, a, b sched.Queue) {
	if (a.Advice == nil) != (b.Advice == nil) || a.Advice != nil && *a.Advice != *b.Advice {
		l.add(Change, entry, "advice changes")
	}
	a.Advice, b.Advice = nil, nil
	if a != b {
		l.add(Change, entry, "%+v, was %+v", b, a)
	}
}

func diffTeam(l *list, entry string, a, b ports.Team) {
	for _, k := range a.Keys {
		if !slices.Contains(b.Keys, k) {
			l.add(Change, entry, "a key is withdrawn")
		}
	}
	for _, k := range b.Keys {
		if !slices.Contains(a.Keys, k) {
			l.add(Change, entry, "a key is given")
		}
	}
	if a.Weight != b.Weight {
		l.add(Change, entry, "weight %d, was %d", b.Weight, a.Weight)
	}
	if a.Max != b.Max {
		l.add(Change, entry, "maximum %s, was %s", describe(b.Max), describe(a.Max))
	}
}

// describe returns a maximum in words.
func describe(s jobs.Size) string {
	if s == (jobs.Size{}) {
		return "none"
	}
	return s.String()
}
