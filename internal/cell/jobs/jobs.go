// Package jobs defines job specifications, tasks and the state machine of a
// task.
//
// WithStart records the intent to run the next attempt, before the start
// request is sent to a worker. WithEnd records how the attempt ended; it
// ignores an end of any attempt but the current one, so duplicate and late
// reports have no effect. WithCancel and WithSettled apply a cancellation
// and an operator's decision.
//
// This package alone decides what an end means for a task that is not
// idempotent: if an attempt may have run and its outcome is unknown, the task
// is parked and not retried until an operator settles it.
//
// # Usage
//
//	spec := jobs.Spec{Name: "survey", Kind: jobs.Batch, Tasks: 1, Size: size}
//	if err := spec.Check(); err != nil { ... }
//	t := jobs.Task{State: jobs.Waiting}.WithStart(placement, nowMs)
//	t = t.WithEnd(spec, jobs.End{Attempt: 1, Reason: jobs.EndOK})
package jobs

import (
	"fmt"
	"strconv"
	"strings"

	"lagooncourse/internal/base/fault"
)

// Kind is the class of a job. It determines how the job is queued, placed and
// retried.
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

// Rank returns the kind's index in Kinds, or len(Kinds) for an unknown kind.
func (k Kind) Rank() int {
	for i, other := range Kinds {
		if k == other {
			return i
		}
	}
	return len(Kinds)
}

// ID identifies a job. It has the form GROUP.NUMBER, where GROUP owns the job.
type ID string

// NewID returns the id of the nth job of a group.
func NewID(group string, n int64) ID { return ID(fmt.Sprintf("%s.%d", group, n)) }

// Group returns the group that owns the job, and false if id is malformed.
func (id ID) Group() (string, bool) {
	g, n, ok := strings.Cut(string(id), ".")
	if !ok || g == "" {
		return "", false
	}
	_, err := strconv.ParseUint(n, 10, 63) // fits into the int64 of NewID
	return g, err == nil
}

// Ref identifies one task of a job.
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
		return Ref{}, fault.InvalidField("task", s, "must have the form JOB/INDEX")
	}
	return Ref{Job: ID(job), Index: n}, nil
}

// Limits, default and valid characters of a Spec's fields.
const (
	MaxTasks        = 1000
	MaxCPUMillis    = 1_000_000             // per task
	MaxMemoryMiB    = 16 << 20              // 16 TiB per task
	MaxAccelerators = 64                    // per task
	MaxRunMs        = 90 * 24 * 3600 * 1000 // 90 days
	MaxRetries      = 100
	MaxNameBytes    = 128
	MaxPayloadBytes = 16 << 10
	defaultQueue    = "default"
	nameChars       = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
)

// Spec is a submitted job specification. It does not change after the job has
// been accepted.
type Spec struct {
	Name       string `json:"name"`                 // job name; sent to the platform as the family of its tasks
	Kind       Kind   `json:"kind"`                 // Batch if empty
	Team       string `json:"team,omitempty"`       // set from the API key
	Queue      string `json:"queue,omitempty"`      // "default" if empty
	Submission string `json:"submission,omitempty"` // idempotency key of the submission
	Tasks      int    `json:"tasks"`                // number of tasks; 1 if 0
	Size       Size   `json:"size"`                 // declared size of each task
	RunMs      int64  `json:"runMs"`                // declared run time; may be 0 only for a service
	Idempotent bool   `json:"idempotent"`           // a task may run more than once
	Retries    int    `json:"retries"`              // maximum number of retries after failures of an idempotent task; ignored for a service
	Az         string `json:"az,omitempty"`         // requested availability zone; empty for any
	Payload    string `json:"payload,omitempty"`    // passed to the worker; opaque to the scheduler
}

// WithDefaults returns the spec with defaults for the empty queue, task count
// and kind.
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

// WithSubmission returns the spec with the given idempotency key.
func (s Spec) WithSubmission(id string) Spec {
	s.Submission = id
	return s
}

// Total returns the sum of the sizes of all tasks.
func (s Spec) Total() Size { return s.Size.Times(int64(s.Tasks)) }

// Check returns an error that names the first invalid field and its value.
func (s Spec) Check() error {
	if err := CheckName("name", s.Name); err != nil {
		return err
	}
	if s.Kind.Rank() == len(Kinds) {
		return fault.InvalidField("kind", s.Kind, "must be one of %v", Kinds)
	}
	if err := CheckName("queue", s.Queue); err != nil {
		return err
	}
	if len(s.Submission) > MaxNameBytes {
		return fault.InvalidField("submission", s.Submission, "must have at most %d bytes", MaxNameBytes)
	}
	if len(s.Payload) > MaxPayloadBytes {
		return fault.InvalidField("payload", len(s.Payload), "must have at most %d bytes", MaxPayloadBytes)
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
		{"size.cpuMillis", s.Size.CPU, 1, MaxCPUMillis},
		{"size.memoryMiB", s.Size.Mem, 0, MaxMemoryMiB},
		{"size.accelerators", s.Size.Accel, 0, MaxAccelerators},
		{"runMs", s.RunMs, 0, MaxRunMs},
		{"retries", int64(s.Retries), 0, MaxRetries},
	}
	for _, c := range checks {
		if c.v < c.min || c.v > c.max {
			return fault.InvalidField(c.field, c.v, "must lie between %d and %d", c.min, c.max)
		}
	}
	if s.Kind != Service && s.RunMs == 0 {
		return fault.InvalidField("runMs", s.RunMs, "must be at least 1 for kind %q", s.Kind)
	}
	if s.Kind == Service && !s.Idempotent {
		return fault.InvalidField("idempotent", s.Idempotent, "must be true for kind %q, which is restarted", s.Kind)
	}
	return nil
}

// CheckName returns an error unless v consists of 1 to MaxNameBytes letters, digits
// and characters of "-_.".
func CheckName(field, v string) error {
	if v == "" || len(v) > MaxNameBytes {
		return fault.InvalidField(field, v, "must have 1 to %d bytes", MaxNameBytes)
	}
	if strings.Trim(v, nameChars) != "" {
		return fault.InvalidField(field, v, "must consist of letters, digits, '-', '_' and '.'")
	}
	return nil
}
