// Package jobs defines jobs and their tasks: what a submitter asks for, and
// the states that a task goes through.
//
// A task's state changes in two ways only. WithStart records the intent to run
// the next attempt, before the attempt is sent to a worker. WithEnd records how
// that attempt ended. Both refuse a stale attempt number, so a report that
// arrives twice or late changes nothing. What an end means for a task that is
// not idempotent is decided here and nowhere else: if it may have run and
// nobody can say so, the task is parked, never run again on its own.
//
// # Usage
//
//	spec := jobs.Spec{Name: "survey", Kind: jobs.Batch, Tasks: 1, Size: size}
//	if err := spec.Check(); err != nil { ... }
//	t := jobs.Task{State: jobs.Waiting}.WithStart(site, nowMs)
//	t = t.WithEnd(spec, jobs.End{Attempt: 1, How: jobs.EndOK})
package jobs

import (
	"fmt"
	"strconv"
	"strings"

	"lagooncourse/internal/base/fault"
)

// Kind is the class of a job. Each kind has a policy of its own.
type Kind string

// The kinds, most urgent first.
const (
	Urgent  Kind = "urgent"
	Service Kind = "service"
	Gang    Kind = "gang"
	Batch   Kind = "batch"
)

// Kinds lists all kinds, most urgent first.
var Kinds = []Kind{Urgent, Service, Gang, Batch}

// Rank returns the kind's place in Kinds.
func (k Kind) Rank() int {
	for i, other := range Kinds {
		if k == other {
			return i
		}
	}
	return len(Kinds)
}

// ID names a job. It starts with the group that owns the job.
type ID string

// NewID returns the id of the nth job of a group.
func NewID(group string, n int64) ID { return ID(fmt.Sprintf("%s.%d", group, n)) }

// Group returns the group that owns the job, and false if id is malformed.
func (id ID) Group() (string, bool) {
	g, n, ok := strings.Cut(string(id), ".")
	if !ok || g == "" {
		return "", false
	}
	_, err := strconv.ParseUint(n, 10, 63)
	return g, err == nil
}

// Ref names one task of a job.
type Ref struct {
	Job   ID
	Index int
}

// String returns the ref as "job/index".
func (r Ref) String() string { return fmt.Sprintf("%s/%d", r.Job, r.Index) }

// ParseRef parses the form that String returns.
func ParseRef(s string) (Ref, error) {
	job, index, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(index)
	if !ok || err != nil || n < 0 {
		return Ref{}, fault.Field("task", s, "must have the form JOB/INDEX")
	}
	return Ref{Job: ID(job), Index: n}, nil
}

// Bounds of a Spec.
const (
	MaxTasks     = 1000
	MaxCPU       = 1_000_000 // millicores of one task
	MaxMem       = 16 << 20  // MiB of one task
	MaxAccel     = 64        // devices of one task
	MaxRunMs     = 90 * 24 * 3600 * 1000
	MaxRetries   = 100
	MaxNameBytes = 128
	MaxPayload   = 16 << 10 // bytes
	defaultQueue = "default"
	nameAlphabet = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
)

// Spec is what a submitter asks for. It is a value and is never changed after
// its job has been accepted.
type Spec struct {
	Name       string `json:"name"`                 // family of similar jobs
	Kind       Kind   `json:"kind"`                 //
	Team       string `json:"team,omitempty"`       // filled in from the key
	Queue      string `json:"queue,omitempty"`      //
	Submission string `json:"submission,omitempty"` // repeats with the same id are one job
	Tasks      int    `json:"tasks"`                //
	Size       Size   `json:"size"`                 // of each task, as declared
	RunMs      int64  `json:"runMs"`                // declared run time; 0 for a service
	Idempotent bool   `json:"idempotent"`           // a task may run again if it may have run
	Retries    int    `json:"retries"`              // attempts after a failure of the task itself
	Az         string `json:"az,omitempty"`         // wanted availability zone; empty for any
	Payload    string `json:"payload,omitempty"`    // handed to the worker unread
}

// WithDefaults returns the spec with defaults for what was left empty.
func (s Spec) WithDefaults() Spec {
	if s.Queue == "" {
		s.Queue = defaultQueue
	}
	if s.Tasks == 0 {
		s.Tasks = 1
	}
	if s.Kind == "" {
		s.Kind = Batch
	}
	return s
}

// WithTeam returns the spec for the given team.
func (s Spec) WithTeam(team string) Spec {
	s.Team = team
	return s
}

// WithSubmission returns the spec with the given submission id.
func (s Spec) WithSubmission(id string) Spec {
	s.Submission = id
	return s
}

// Total returns the size of all tasks together.
func (s Spec) Total() Size { return s.Size.Times(int64(s.Tasks)) }

// Check returns an error that names the first invalid field and its value.
func (s Spec) Check() error {
	if err := CheckName("name", s.Name); err != nil {
		return err
	}
	if s.Kind.Rank() == len(Kinds) {
		return fault.Field("kind", s.Kind, "must be one of %v", Kinds)
	}
	if err := CheckName("queue", s.Queue); err != nil {
		return err
	}
	if len(s.Submission) > MaxNameBytes {
		return fault.Field("submission", s.Submission, "must have at most %d bytes", MaxNameBytes)
	}
	if len(s.Payload) > MaxPayload {
		return fault.Field("payload", len(s.Payload), "must have at most %d bytes", MaxPayload)
	}
	return s.checkNumbers()
}

func (s Spec) checkNumbers() error {
	checks := []struct {
		field    string
		v        int64
		min, max int64
	}{
		{"tasks", int64(s.Tasks), 1, MaxTasks},
		{"size.cpuMillis", s.Size.CPU, 1, MaxCPU},
		{"size.memoryMiB", s.Size.Mem, 0, MaxMem},
		{"size.accelerators", s.Size.Accel, 0, MaxAccel},
		{"runMs", s.RunMs, 0, MaxRunMs},
		{"retries", int64(s.Retries), 0, MaxRetries},
	}
	for _, c := range checks {
		if c.v < c.min || c.v > c.max {
			return fault.Field(c.field, c.v, "must lie between %d and %d", c.min, c.max)
		}
	}
	if s.Kind != Service && s.RunMs == 0 {
		return fault.Field("runMs", s.RunMs, "must be at least 1 for kind %q", s.Kind)
	}
	if s.Kind == Service && !s.Idempotent {
		return fault.Field("idempotent", s.Idempotent, "must be true for kind %q, which is restarted", s.Kind)
	}
	return nil
}

// CheckName returns an error unless v is a short name of letters, digits and
// "-_.".
func CheckName(field, v string) error {
	if v == "" || len(v) > MaxNameBytes {
		return fault.Field(field, v, "must have 1 to %d bytes", MaxNameBytes)
	}
	if strings.Trim(v, nameAlphabet) != "" {
		return fault.Field(field, v, "must consist of letters, digits, '-', '_' and '.'")
	}
	return nil
}
