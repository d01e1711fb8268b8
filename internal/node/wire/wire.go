// Package wire defines the messages between entry hosts and their method
// numbers. All messages are msgpack arrays, so a field's place is its name:
// fields are only ever added at the end.
//
// # Usage
//
//	frame.Handle(srv, wire.Reserve, host.reserve)
//	slot, err := frame.Call(ctx, pool, addr, wire.Reserve, wire.ReserveMsg{Group: g, Asks: asks})
package wire

import (
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/cell/books"
	"lagooncourse/internal/cell/jobs"
)

// The methods.
var (
	Gossip  = frame.Method[GossipMsg, GossipMsg]{ID: 1, Name: "gossip"}
	Cell    = frame.Method[CellMsg, CellAnswer]{ID: 2, Name: "cell"}
	Submit  = frame.Method[SubmitMsg, jobs.Job]{ID: 3, Name: "submit"}
	Status  = frame.Method[StatusMsg, StatusAnswer]{ID: 4, Name: "status"}
	Cancel  = frame.Method[CancelMsg, jobs.Job]{ID: 5, Name: "cancel"}
	Settle  = frame.Method[SettleMsg, jobs.Job]{ID: 6, Name: "settle"}
	Reserve = frame.Method[ReserveMsg, ReserveAnswer]{ID: 7, Name: "reserve"}
	Start   = frame.Method[StartMsg, StartAnswer]{ID: 8, Name: "start"}
	Stop    = frame.Method[StopMsg, Empty]{ID: 9, Name: "stop"}
	Where   = frame.Method[WhereMsg, WhereAnswer]{ID: 10, Name: "where"}
	Report  = frame.Method[ReportMsg, ReportAnswer]{ID: 11, Name: "report"}
	Serve   = frame.Method[CallMsg, CallAnswer]{ID: 12, Name: "serve"}
	Once    = frame.Method[CallMsg, CallAnswer]{ID: 13, Name: "once"}
	List    = frame.Method[ListMsg, ListAnswer]{ID: 14, Name: "list"}
)

// Empty is an answer without content.
type Empty struct {
}

// GossipMsg carries heartbeats, and descriptions of the members that the
// receiver is believed to lack.
type GossipMsg struct {
	Beats   []Beat
	Members []Member
}

// Beat is a member's newest heartbeat, as far as somebody has heard. It is
// what changes all the time, and is kept small.
type Beat struct {
	ID       string
	Boot     int64  // orders the lives of one id
	Beat     uint64 //
	Version  uint64 // of the member's description
	CellNext int64  // next offset of the configuration that it will read
	LogAgeMs int64  // since it read the end of the configuration from the log itself
}

// Newer reports whether b is a later heartbeat than o.
func (b Beat) Newer(o Beat) bool {
	return b.Boot > o.Boot || b.Boot == o.Boot && b.Beat > o.Beat
}

// Member describes one entry host.
type Member struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"` // for peers
	API     string `json:"api"`  // base URL for callers
	Az      string `json:"az"`
	Boot    int64  `json:"boot"`
	Version uint64 `json:"version"` // of this description within the boot
	Leaving bool   `json:"leaving"`
	Groups  []Duty `json:"groups"`
	Pools   []Pool `json:"pools"` // targets to which the member sends calls
}

// Newer reports whether m is a later description than o.
func (m Member) Newer(o Member) bool {
	return m.Boot > o.Boot || m.Boot == o.Boot && m.Version > o.Version
}

// Duty describes a group that a member owns.
type Duty struct {
	Group    string               `json:"group"`
	Epoch    uint64               `json:"epoch"`
	Az       string               `json:"az"`
	Capacity jobs.Size            `json:"capacity"`
	Free     jobs.Size            `json:"free"`
	Largest  jobs.Size            `json:"largest"` // most that one worker has free
	Used     map[string]jobs.Size `json:"used"`    // team -> placed tasks of the group's own jobs
	Wanting  []string             `json:"wanting"` // teams that wait for more of their limit
	Waiting  map[string]jobs.Size `json:"waiting"` // team -> size of what waits
}

// Pool describes the targets of one service in one group.
type Pool struct {
	Group   string `json:"group"`
	Az      string `json:"az"`
	Service string `json:"service"`
	Slots   int    `json:"slots"` // of targets that take calls
	Busy    int    `json:"busy"`
	Queued  int    `json:"queued"`
}

// CellMsg asks a peer for configuration records.
type CellMsg struct {
	From int64
}

// CellAnswer carries records that the peer has read.
type CellAnswer struct {
	First int64    // offset of the first record
	Data  [][]byte // records at consecutive offsets
	Next  int64    // next offset that the peer will read
	AgeMs int64    // since the peer knew that this was the end of the stream
}

// SubmitMsg forwards a job to the owner of its group.
type SubmitMsg struct {
	Group string
	Spec  jobs.Spec
}

// StatusMsg asks for a job. WaitMs keeps the request open until it has ended.
type StatusMsg struct {
	Job    jobs.ID
	WaitMs int64
}

// StatusAnswer carries a job and why it waits.
type StatusAnswer struct {
	Job jobs.Job
	Why []string // explanations, newest last
}

// CancelMsg asks for the end of a job.
type CancelMsg struct {
	Job jobs.ID
}

// SettleMsg is an operator's decision on a parked task.
type SettleMsg struct {
	Ref    jobs.Ref
	Action jobs.Action
}

// ReserveMsg asks a group's owner for room, for all asks or for none.
type ReserveMsg struct {
	Group string
	Asks  []books.Ask
	TTLMs int64 // how long the reservation holds
}

// ReserveAnswer carries a slot for each ask, or none.
type ReserveAnswer struct {
	Slots []books.Slot
}

// StartMsg asks the owner of a worker's group to start a reserved attempt.
type StartMsg struct {
	Group      string
	Attempt    books.Attempt
	Home       string
	Spec       jobs.Spec
	Checkpoint string
}

// StartAnswer says whether the attempt runs.
type StartAnswer struct {
	Place books.Place
}

// StopMsg asks the owner of a worker's group to end an attempt.
type StopMsg struct {
	Group      string
	Attempt    books.Attempt
	Checkpoint bool
}

// WhereMsg asks what became of attempts.
type WhereMsg struct {
	Group   string
	Queries []books.Query
}

// WhereAnswer answers each query in order.
type WhereAnswer struct {
	Epoch   uint64 // of the group whose owner answers
	Places  []books.Place
	Reports []books.Report
}

// ReportMsg tells the owner of a job's group how attempts ended.
type ReportMsg struct {
	Group   string
	Reports []books.Report
}

// ReportAnswer lists the attempts whose end is recorded.
type ReportAnswer struct {
	Recorded []books.Attempt
}

// CallMsg forwards a call to a service.
type CallMsg struct {
	Group      string // whose targets or whose records are meant
	Service    string
	Team       string
	ID         string
	Idempotent bool
	Body       []byte
}

// CallAnswer carries the whole answer to a call.
type CallAnswer struct {
	Status int
	Body   []byte
	Ran    fault.Outcome
}

// ListMsg asks for the jobs of a group.
type ListMsg struct {
	Group string
	Team  string // empty for all
	State jobs.State
	Max   int
}

// ListAnswer carries jobs without their payload.
type ListAnswer struct {
	Jobs []jobs.Job
}
