package sched

// IDs of jobs. Clients choose them, and IDs that differ only in the case of letters belong to
// different jobs. Versions before Spec.ExactID converted IDs to lower case, and hosts still do
// beside such a version, so the client may know a job by another spelling. A converted ID stands
// for all its spellings, unless there is a job with exactly the ID that a request names, until
// the records of the job are deleted.

import (
	"reflect"
	"slices"
	"strings"
)

// ResolveID returns the ID of the job that a client calls id, or id if there is no such job.
func (p *Planner) ResolveID(id string) string {
	if j := p.convertedJob(id); j != nil {
		return j.Spec.ID
	}
	return id
}

// ResolveSubmission returns the ID of the job that a submission repeats, or its own if the job is
// new. It repeats a job with a converted ID only if both have the same content: another client may
// use the same digits in another case.
func (p *Planner) ResolveSubmission(s Spec) string {
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

// sameContent reports whether two specs are the same but for what the accepting host has added.
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
