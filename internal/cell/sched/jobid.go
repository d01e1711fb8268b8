package sched

// IDs of jobs. Clients choose them, and IDs that differ in the case of a letter belong to
// different jobs. Versions before Spec.ExactID stored an ID in lower case, whatever its client
// had sent, so the client may know such a job by another spelling. A converted ID stands for
// all its spellings until its records are deleted, unless there is a job with exactly the ID
// that a request names. A new job is never stored so: one of two jobs would be lost.

import (
	"reflect"
	"slices"
	"strings"
)

// KeptID returns the ID of the job that a client calls id, or id if there is none.
func (p *Planner) KeptID(id string) string {
	if j := p.convertedJob(id); j != nil {
		return j.Spec.ID
	}
	return id
}

// SubmittedID returns the ID of the job that a submission repeats, or that of the submission
// if the job is new. The submission repeats a job with a converted ID only if they have the
// same content: another client may use the same digits in another case.
func (p *Planner) SubmittedID(s Spec) string {
	if j := p.convertedJob(s.ID); j != nil && sameContent(j.Spec, s) {
		return j.Spec.ID
	}
	return s.ID
}

// convertedJob returns the job whose converted ID stands for id, or nil if there is none or
// a job has exactly this ID.
func (p *Planner) convertedJob(id string) *Job {
	if p.state.Jobs[id] != nil {
		return nil
	}
	if j := p.state.Jobs[strings.ToLower(id)]; j != nil && !j.Spec.ExactID {
		return j
	}
	return nil
}

// sameContent reports whether two specs have the same content but for what the accepting
// host has added.
func sameContent(a, b Spec) bool {
	return a.Payload == b.Payload && a.FirstMs == b.FirstMs && a.IntervalMs == b.IntervalMs && a.Occurrences == b.Occurrences &&
		slices.EqualFunc(a.Steps, b.Steps, sameStep)
}

func sameStep(a, b Step) bool {
	if !slices.Equal(a.DependsOn, b.DependsOn) {
		return false
	}
	a.DependsOn, b.DependsOn = nil, nil
	return reflect.DeepEqual(a, b)
}
