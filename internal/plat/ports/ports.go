// Package ports defines the interface between the scheduler and a platform
// adapter: the requests to and answers from the store, the workers and the
// advice service.
//
// The scheduler uses only these types. An adapter translates names and formats and
// makes no decisions: it does not retry, delay requests or choose between servers.
// Errors wrap a *RefusedError, *GoneError or *fault.Error. Outcome NotRun means
// that the request had no effect, for example because no connection could be made.
// Unknown means that the request may have been carried out, or may be carried out
// later.
//
// # Usage
//
//	res, err := store.Append(ctx, ports.AppendRequest{Topic: "keyed.jobs", Epoch: 7, Seq: 3, Records: recs})
//	list, err := workers.Heartbeat(ctx, ports.HeartbeatRequest{Peer: peer, Token: 7, LeaseEnd: 486000})
package ports

import (
	"context"
	"errors"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
)

// Record is one record of a keyed topic. An empty value deletes the key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// AppendRequest appends records to partition 0 of a topic atomically.
type AppendRequest struct {
	Topic   string
	Writer  string // producer ID for fencing; empty for an unfenced append
	Epoch   int64  // epoch of the writer; the store refuses an epoch below the highest that it has received
	Seq     int64  // sequence number of the append within the epoch; increases by 1 with each append
	Records []Record
}

// Refusal is the reason for which a store or worker refused a request.
type Refusal string

// Refusal reasons.
const (
	RefusedFence       Refusal = "fence"    // stale fencing token (worker) or epoch (store)
	RefusedSequence    Refusal = "sequence" // gap in the sequence numbers of the writer
	RefusedStaleRun    Refusal = "old"      // a run with this number or a higher one has ended on the worker
	RefusedLeaseEnded  Refusal = "late"     // the lease end in the order had passed when the order arrived
	RefusedCapacity    Refusal = "room"     // not enough free capacity for the task
	RefusedTicket      Refusal = "ticket"   // the ticket is missing or has expired
	RefusedIncarnation Refusal = "reborn"   // the worker has restarted: another incarnation has the address
	RefusedBusy        Refusal = "busy"     // the store or worker is overloaded or unhealthy
	RefusedInvalid     Refusal = "invalid"  // the store will never accept this append, for example since a record is too long
	RefusedOther       Refusal = "other"
)

// RefusedError reports that the other side refused a request, which had no effect.
type RefusedError struct {
	Reason Refusal
	Status int // HTTP status
}

// Error returns a message with the reason.
func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// ReasonOf returns the reason of the RefusedError in err, or "" if there is none.
func ReasonOf(err error) Refusal {
	var e *RefusedError
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

// Page is a range of consecutive records of a topic.
type Page struct {
	Records []Record
	First   int64 // oldest retained offset
	End     int64 // offset of the next append
}

// ReadRequest reads records of partition 0, starting at an offset.
type ReadRequest struct {
	Topic  string
	From   int64
	Wait   time.Duration // long poll: how long the store may wait for a record
	MaxKiB int           // limit of the answer's size; 0 means the store's default
	Large  bool          // the answer may be large for the link: it is not read over a second path while the first may still succeed
}

// Newest is a page of a listing that has the newest record of each key.
type Newest struct {
	Records []Record
	End     int64  // end of the topic when the page was read; see ReadNewest
	More    string // last key of the page, to pass to the next call; empty on the last page
}

// GoneError reports that the requested records have expired. First is the
// oldest retained offset.
type GoneError struct{ First int64 }

// Error returns a fixed message.
func (e *GoneError) Error() string { return "records have expired" }

// Store is the platform's durable log.
type Store interface {
	// Append appends the records atomically and returns the offset of the first.
	Append(ctx context.Context, req AppendRequest) (offset int64, err error)
	// Read returns records from req.From on. If they have expired, the error is a
	// *GoneError.
	Read(ctx context.Context, req ReadRequest) (Page, error)
	// Newest returns one page with the newest record of each key, starting after
	// the key given by after.
	Newest(ctx context.Context, topic, after string) (Newest, error)
}

// ReadNewest returns the newest record of each key of a topic and the offset
// from which Read has to continue. That is the end offset of the first page,
// because records may be appended while the later pages are read. The timeout is that
// of one page: the time for all of them grows with the topic. A page that fails is
// tried once more if pages before it would be lost.
func ReadNewest(ctx context.Context, s Store, topic string, timeout time.Duration) (all []Record, end int64, err error) {
	after := ""
	for first := true; first || after != ""; first = false {
		n, err := readPage(ctx, s, topic, after, timeout)
		if err != nil && !first && ctx.Err() == nil {
			n, err = readPage(ctx, s, topic, after, timeout)
		}
		if err != nil {
			return nil, 0, err
		}
		all = append(all, n.Records...)
		if first {
			end = n.End
		}
		after = n.More
	}
	return all, end, nil
}

// readPage returns one page of the newest records.
func readPage(ctx context.Context, s Store, topic, after string, timeout time.Duration) (Newest, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Newest(ctx, topic, after)
}

// Peer is the ID and the address of a worker. A worker with another ID at the
// address refuses the request with RefusedIncarnation.
type Peer struct {
	ID   string
	Addr string
}

// StartOrder orders a worker to run a task.
type StartOrder struct {
	Peer       Peer
	Token      int64  // fencing token
	Task       string // task reference; see package sched
	Run        int    // number of the run of the task
	Payload    string
	LeaseEnd   int64  // on the worker's clock, in milliseconds
	Checkpoint string // checkpoint to resume from
	Ticket     string // of the advice service; empty if none is needed
}

// StopOrder ends a run of a task.
type StopOrder struct {
	Peer  Peer
	Token int64 // fencing token
	Task  string
	Run   int
}

// HeartbeatRequest renews the lease of a worker, which covers all its runs, and asks
// for the lists of running and finished runs.
type HeartbeatRequest struct {
	Peer     Peer
	Token    int64         // fencing token
	LeaseEnd int64         // on the worker's clock, in milliseconds; 0 does not renew the lease
	Seen     int64         // acknowledges the finished runs with numbers up to this one; the worker may drop them
	Wait     time.Duration // long poll: how long the worker may wait for a change

	// SameConn sends the request only on the connection of the last answered heartbeat
	// to this address, so that it reaches the process that gave that answer or none. The
	// error is ErrConnClosed if the connection is closed.
	SameConn bool
}

// ErrConnClosed is the error of a request with SameConn that was not sent.
var ErrConnClosed = fault.New(fault.Unavailable, fault.NotRun, "the connection of the last heartbeat is closed")

// HeartbeatResponse lists the running and the unacknowledged finished runs of a worker.
type HeartbeatResponse struct {
	ClockMs     int64 // time of the worker's clock, in milliseconds
	Incarnation int64 // start time of the incarnation, in milliseconds since 1970
	Running     []sched.Running
	Finished    []sched.Finished
}

// Workers sends orders to workers.
type Workers interface {
	// Start returns the time of the worker's clock, in milliseconds.
	Start(ctx context.Context, o StartOrder) (clock int64, err error)
	Stop(ctx context.Context, o StopOrder) error
	Heartbeat(ctx context.Context, r HeartbeatRequest) (HeartbeatResponse, error)
}

// AdviceRequest asks the advice service which of the workers may run a step.
type AdviceRequest struct {
	Step    string
	Workers []string
}

// Advice lists the workers that may run the step.
type Advice struct {
	Tickets map[string]string // by worker; a start order carries the ticket of its worker
}

// Adviser is the platform's advice service, which decides which workers may run a
// step.
type Adviser interface {
	Advise(ctx context.Context, r AdviceRequest) (Advice, error)
}

// ClusterConfig is one version of the operators' configuration.
type ClusterConfig struct {
	Version int64
	Queues  []sched.Queue
	Teams   []Team
	Limits  Limits

	Services []string // names of the worker pools
}

// OperatorKey is a parsed record key of the operators' topic. At most one field
// is set; none for an unknown key.
type OperatorKey struct {
	Config bool   // the record is the configuration
	Az     string // the record evacuates this availability zone
	Wave   string // the record describes this maintenance wave
}

// Team is a client account.
type Team struct {
	Name   string
	Keys   []string
	Weight int64
	Max    jobs.Size // quota; 0 in a dimension means no limit
}

// Limits holds the limits of HTTP requests from callers.
type Limits struct {
	BodyBytes       int64 // maximum size of a body
	HeaderBytes     int   // maximum size of the headers
	HeaderTimeoutMs int64 // timeout for reading the headers
	IdleTimeoutMs   int64 // timeout of idle connections
}
