// Package ports holds the types that pass between the scheduler and an adapter
// of a platform: what a store, a worker and an advice service are asked, and
// what they answer.
//
// The scheduler decides with these types only. An adapter translates names and
// formats and decides nothing: it neither waits, nor retries, nor chooses.
// Errors are *fault.Error. Outcome NotRun says that the other side refused or
// that no connection came about; Unknown says that the request may have been
// carried out, or may be carried out later.
//
// # Usage
//
//	res, err := store.Append(ctx, ports.AppendRequest{Topic: "keyed.jobs", Epoch: 7, Seq: 3, Records: recs})
//	list, err := workers.Hold(ctx, ports.HoldRequest{Peer: peer, Token: 7, LeaseEnd: 486000})
package ports

import (
	"context"
	"errors"
	"time"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
)

// Record is one record of a keyed topic. An empty value drops the key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// AppendRequest adds records to partition 0 of a topic, all or none.
type AppendRequest struct {
	Topic   string
	Writer  string // names the sequence of appends; empty for an append without a fence
	Epoch   int64  // of the writer; a lower one than the topic has seen is refused
	Seq     int64  // of the append within the epoch, from 0
	Records []Record
}

// Refusal says why a store, worker or cloud refused, when it gave a reason.
type Refusal string

// The reasons.
const (
	RefusedFence    Refusal = "fence"    // a higher fencing token or epoch has been seen
	RefusedSequence Refusal = "sequence" // the append does not follow the last one
	RefusedOld      Refusal = "old"      // the run is not higher than one that ended there
	RefusedLate     Refusal = "late"     // the lease had ended before the order came
	RefusedRoom     Refusal = "room"     // the task does not fit
	RefusedTicket   Refusal = "ticket"   // the ticket is missing or has expired
	RefusedReborn   Refusal = "reborn"   // another incarnation answers at the address
	RefusedBusy     Refusal = "busy"     // overloaded or unhealthy; nothing was done
	RefusedOther    Refusal = "other"
)

// RefusedError is a refusal with its reason. Nothing was done.
type RefusedError struct {
	Reason Refusal
	Status int
}

// Error returns the reason and the status.
func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// ReasonOf returns why the other side refused, "" if err is no refusal.
func ReasonOf(err error) Refusal {
	var e *RefusedError
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

// Page is a part of a topic.
type Page struct {
	Records []Record
	First   int64 // oldest offset that is retained
	End     int64 // offset that the next append will get
}

// ReadRequest asks for the records of partition 0 from an offset on.
type ReadRequest struct {
	Topic  string
	From   int64
	Wait   time.Duration // how long the store may wait for a record
	MaxKiB int           // 0 means the store's default
}

// Newest is the newest record of each key. After Page.End, Read continues.
type Newest struct {
	Records []Record
	End     int64  // offset at which this page was made
	More    string // key to continue with; empty on the last page
}

// GoneError says that the records asked for are no longer retained.
type GoneError struct{ First int64 }

// Error describes the gap.
func (e *GoneError) Error() string { return "records have expired" }

// Store is the platform's log.
type Store interface {
	Append(ctx context.Context, req AppendRequest) (offset int64, err error)
	Read(ctx context.Context, req ReadRequest) (Page, error)
	Newest(ctx context.Context, topic, after string) (Newest, error)
}

// ReadNewest returns the newest record of each key of a topic, and the offset
// from which Read continues: pages are not a snapshot, so it is that of the first.
func ReadNewest(ctx context.Context, s Store, topic string) (all []Record, end int64, err error) {
	after := ""
	for first := true; first || after != ""; first = false {
		n, err := s.Newest(ctx, topic, after)
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

// Peer addresses one incarnation of a worker.
type Peer struct {
	ID   string
	Addr string
}

// StartOrder tells a worker to run a task.
type StartOrder struct {
	Peer     Peer
	Token    int64
	Task     string
	Run      int
	Payload  string
	LeaseEnd int64 // on the worker's clock, in milliseconds
	Saved    string
	Ticket   string
}

// StopOrder ends a run of a task.
type StopOrder struct {
	Peer  Peer
	Token int64
	Task  string
	Run   int
}

// HoldRequest renews the lease of all that runs on a worker and asks for its lists.
type HoldRequest struct {
	Peer     Peer
	Token    int64
	LeaseEnd int64 // 0 renews nothing
	Seen     int64 // ends up to this number may be forgotten
	Wait     time.Duration
}

// HoldAnswer is what runs on a worker and what has ended there.
type HoldAnswer struct {
	Clock    int64 // of the worker, in milliseconds
	Born     int64 // start of the incarnation, in milliseconds since 1970
	Running  []sched.Running
	Finished []sched.Finished
}

// Workers sends orders to workers.
type Workers interface {
	// Start returns the worker's clock.
	Start(ctx context.Context, o StartOrder) (clock int64, err error)
	Stop(ctx context.Context, o StopOrder) error
	Hold(ctx context.Context, r HoldRequest) (HoldAnswer, error)
}

// AdviceRequest asks which of the workers may run a step.
type AdviceRequest struct {
	Step    string
	Workers []string
}

// Advice lists the workers that may run the step, with their tickets.
type Advice struct {
	Tickets map[string]string
}

// Adviser is the service that knows which workers may run a step.
type Adviser interface {
	Advise(ctx context.Context, r AdviceRequest) (Advice, error)
}

// Site is what one configuration of the operator holds.
type Site struct {
	Version int64
	Queues  []sched.Queue
	Teams   []Team
	Limits  Limits
}

// OperatorKey says what a key of the operators' topic speaks of.
type OperatorKey struct {
	Config bool   // the configuration
	Az     string // an availability zone that is out of service
	Wave   string // an upkeep of machines
}

// Team is a client account.
type Team struct {
	Name   string
	Keys   []string
	Weight int64
	Max    jobs.Size // 0 in a dimension means no limit
}

// Limits bounds what callers may send.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int
	HeaderMs    int64
	IdleMs      int64
}
