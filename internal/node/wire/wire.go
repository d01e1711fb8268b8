// Package wire defines the messages between entry hosts and their method
// numbers. All messages are encoded as msgpack arrays, so a field is identified by
// its position: new fields are only added at the end.
//
// # Usage
//
//	frame.Handle(srv, wire.Reserve, host.reserve)
//	answer, err := frame.Call(ctx, pool, addr, wire.Reserve, wire.ReserveMsg{Group: g, Requests: requests})
package wire

import (
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/cell/alloc"
	"lagooncourse/internal/cell/jobs"
)

// The methods that entry hosts call on each other.
var (
	Gossip        = frame.Method[GossipMsg, GossipMsg]{ID: 1, Name: "gossip"}
	ReadConfig    = frame.Method[ReadConfigMsg, ReadConfigAnswer]{ID: 2, Name: "cell"}
	Submit        = frame.Method[SubmitMsg, jobs.Job]{ID: 3, Name: "submit"}
	Status        = frame.Method[StatusMsg, StatusAnswer]{ID: 4, Name: "status"}
	Cancel        = frame.Method[CancelMsg, jobs.Job]{ID: 5, Name: "cancel"}
	Settle        = frame.Method[SettleMsg, jobs.Job]{ID: 6, Name: "settle"}
	Reserve       = frame.Method[ReserveMsg, ReserveAnswer]{ID: 7, Name: "reserve"}
	Start         = frame.Method[StartMsg, StartAnswer]{ID: 8, Name: "start"}
	Stop          = frame.Method[StopMsg, Empty]{ID: 9, Name: "stop"}
	AttemptStatus = frame.Method[AttemptStatusMsg, AttemptStatusAnswer]{ID: 10, Name: "where"}
	Report        = frame.Method[ReportMsg, ReportAnswer]{ID: 11, Name: "report"}
	Serve         = frame.Method[CallMsg, CallAnswer]{ID: 12, Name: "serve"}
	CallOnce      = frame.Method[CallMsg, CallAnswer]{ID: 13, Name: "once"}
	List          = frame.Method[ListMsg, ListAnswer]{ID: 14, Name: "list"}
	Unwanted      = frame.Method[UnwantedMsg, UnwantedAnswer]{ID: 15, Name: "unwanted"}
)

// Empty is a response without content.
type Empty struct {
}

// GossipMsg carries heartbeats, and the member descriptions that the receiver
// probably lacks.
type GossipMsg struct {
	Heartbeats []Heartbeat
	Members    []Member
}

// Heartbeat is the newest known heartbeat of a member. It holds the data that changes
// at every interval and is kept small.
type Heartbeat struct {
	ID         string
	Boot       int64  // incarnation: higher after each restart of the host
	Seq        uint64 // counter within the incarnation
	Version    uint64 // of the newest description of the member that the sender has
	ConfigNext int64  // next offset that the member will read from the configuration stream
	LogAgeMs   int64  // time since the member last read the end of the configuration stream from the log
}

// Newer reports whether b is a later heartbeat than o.
func (b Heartbeat) Newer(o Heartbeat) bool {
	return b.Boot > o.Boot || b.Boot == o.Boot && b.Seq > o.Seq
}

// Member describes one entry host.
type Member struct {
	ID      string      `json:"id"`
	Addr    string      `json:"addr"` // for peers
	API     string      `json:"api"`  // base URL for callers
	Az      string      `json:"az"`
	Boot    int64       `json:"boot"`    // incarnation: higher after each restart of the host
	Version uint64      `json:"version"` // of this description; higher after each change within the incarnation
	Leaving bool        `json:"leaving"` // the host is shutting down
	Groups  []GroupInfo `json:"groups"`
	Pools   []PoolLoad  `json:"pools"` // pools that this member serves
}

// Newer reports whether m is a later description than o.
func (m Member) Newer(o Member) bool {
	return m.Boot > o.Boot || m.Boot == o.Boot && m.Version > o.Version
}

// GroupInfo describes a group that a member owns.
type GroupInfo struct {
	Group       string               `json:"group"`
	Epoch       uint64               `json:"epoch"`
	Az          string               `json:"az"`
	Capacity    jobs.Size            `json:"capacity"` // of all workers that are not leaving
	Free        jobs.Size            `json:"free"`     // of all schedulable workers
	LargestFree jobs.Size            `json:"largest"`  // per dimension, the largest free capacity of any worker
	Used        map[string]jobs.Size `json:"used"`     // team -> size of the placed tasks of the group's own jobs
	Requesting  []string             `json:"wanting"`  // teams that request a larger grant in this group
	Queued      map[string]jobs.Size `json:"waiting"`  // team -> size of the queued work
}

// PoolLoad is the reported load of the pool of one service's targets in one group.
type PoolLoad struct {
	Group   string `json:"group"`
	Az      string `json:"az"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`  // of the available targets
	Busy    int    `json:"busy"`   // slots in use
	Queued  int    `json:"queued"` // queued calls
}

// ReadConfigMsg requests configuration records from a peer, starting at offset From.
type ReadConfigMsg struct {
	From int64
}

// ReadConfigAnswer carries configuration records that the peer has read.
type ReadConfigAnswer struct {
	First int64    // offset of the first record
	Data  [][]byte // records at consecutive offsets
	Next  int64    // next offset that the peer will read
	AgeMs int64    // time since the peer last confirmed that Next was the end of the stream
}

// SubmitMsg forwards a job to the owner of its group.
type SubmitMsg struct {
	Group string
	Spec  jobs.Spec
}

// StatusMsg requests a job. If WaitMs is positive, the answer is delayed until
// the job has ended or WaitMs has passed.
type StatusMsg struct {
	Job    jobs.ID
	WaitMs int64
}

// StatusAnswer carries a job and recent explanations of its status.
type StatusAnswer struct {
	Job jobs.Job
	Why []string // explanations, newest last
}

// CancelMsg requests the cancellation of a job.
type CancelMsg struct {
	Job jobs.ID
}

// SettleMsg is an operator's decision on a parked task.
type SettleMsg struct {
	Ref    jobs.Ref
	Action jobs.Action
}

// ReserveMsg requests reservations from a group's owner. It reserves for all of
// Requests or for none. The owner sets UntilMs of each to its own time plus TTLMs.
type ReserveMsg struct {
	Group    string
	Requests []alloc.ReserveRequest
	TTLMs    int64 // lifetime of the reservation
}

// ReserveAnswer carries the worker reserved for each of Requests, in their order. If
// the owner can't reserve for all of them, the response is an error.
type ReserveAnswer struct {
	Slots []alloc.Slot
}

// StartMsg asks the owner of a worker's group to start a reserved attempt.
type StartMsg struct {
	Group      string
	Attempt    alloc.Attempt
	Home       string // home group of the job
	Spec       jobs.Spec
	Checkpoint string // checkpoint to continue from, or empty
}

// StartAnswer reports the state of the attempt after the request.
type StartAnswer struct {
	Status alloc.AttemptStatus
}

// StopMsg asks the owner of a worker's group to stop an attempt.
type StopMsg struct {
	Group      string
	Attempt    alloc.Attempt
	Checkpoint bool // let the task write a checkpoint before it stops
}

// AttemptStatusMsg queries the state of attempts.
type AttemptStatusMsg struct {
	Group   string
	Queries []alloc.Query
}

// AttemptStatusAnswer is the response to an AttemptStatusMsg.
type AttemptStatusAnswer struct {
	Epoch    uint64                // epoch of the owner that answered
	Statuses []alloc.AttemptStatus // state for each query, in their order
	Reports  []alloc.Report        // for each query; has the details if the state is alloc.StatusEnded
}

// ReportMsg reports to the owner of a job's group how attempts ended.
type ReportMsg struct {
	Group   string
	Reports []alloc.Report
}

// ReportAnswer lists the attempts whose reports the sender need not repeat.
type ReportAnswer struct {
	Recorded []alloc.Attempt
}

// UnwantedMsg asks the owner of a job's group which attempts should not run.
type UnwantedMsg struct {
	Group    string
	Attempts []alloc.Attempt // that run on workers of the sender's group
}

// UnwantedAnswer lists the attempts that are to be stopped.
type UnwantedAnswer struct {
	Attempts []alloc.Attempt
}

// CallMsg forwards a call to a service.
type CallMsg struct {
	Group      string // Serve: group of the targets; CallOnce: group that records the call
	Service    string
	Team       string
	ID         string
	Idempotent bool
	Body       []byte
}

// CallAnswer carries the complete response to a call.
type CallAnswer struct {
	Status  int
	Body    []byte
	Outcome fault.Outcome
}

// ListMsg requests the jobs of a group.
type ListMsg struct {
	Group string
	Team  string     // empty for all
	State jobs.State // empty for all
	Max   int        // maximum number of jobs
}

// ListAnswer carries jobs without their payloads.
type ListAnswer struct {
	Jobs []jobs.Job
}
