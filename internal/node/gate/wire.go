package gate

import (
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// The methods between entry hosts.
var (
	pingMethod   = frame.Method[ping, ping]{ID: 40, Name: "ping"}
	callMethod   = frame.Method[callMsg, callAnswer]{ID: 41, Name: "call"}
	adviseMethod = frame.Method[adviseMsg, adviseAnswer]{ID: 42, Name: "advise"}
	appendMethod = frame.Method[ports.AppendRequest, appendAnswer]{ID: 43, Name: "append"}
	readMethod   = frame.Method[ports.ReadRequest, readAnswer]{ID: 44, Name: "read"}
	newestMethod = frame.Method[newestMsg, readAnswer]{ID: 45, Name: "newest"}
	siteMethod   = frame.Method[siteMsg, siteAnswer]{ID: 46, Name: "site"}
)

// ping is a heartbeat and its answer: what the sender believes.
type ping struct {
	Addr       string // of the sender, for frames
	Az         string
	Leaving    bool
	Epoch      int64  // highest ownership that the sender knows
	Owner      string // address of its holder; empty if unknown
	OwnerAgeMs int64  // since the owner answered the sender; 0 if it is the owner
	SiteNext   int64  // offset of the operators' topic up to which the sender has read
	StoreOK    bool   // the store has answered the sender lately
	Claim      bool   // asks the receiver to take over at once
	Power      int64  // millicores of the sender
}

// callKind is what a forwarded call wants.
type callKind uint8

const (
	callSubmit callKind = iota
	callStatus
	callCancel
	callPending
)

// callMsg is a caller's request, checked and forwarded to the owner.
type callMsg struct {
	Kind     callKind
	Spec     sched.Spec // for callSubmit
	ID       string
	Queue    string
	SiteNext int64 // configuration by which the sender has decided
}

type callAnswer struct {
	Status  sched.Status
	Pending int
}

type adviseMsg struct {
	Step    string
	Workers []string
}

type adviseAnswer struct {
	Advice ports.Advice
	AgeMs  int64 // since the service answered
}

// appendAnswer is the outcome of a relayed append.
type appendAnswer struct {
	Offset int64
	Reason ports.Refusal // set if the store refused
	Status int
}

// readAnswer is the outcome of a relayed read.
type readAnswer struct {
	Page   ports.Page
	More   string
	Gone   bool
	Reason ports.Refusal
	Status int
}

type newestMsg struct {
	Topic string
	After string
}

// siteMsg asks for the operators' records if the sender's are older.
type siteMsg struct{ Next int64 }

type siteAnswer struct {
	Next    int64
	Records []ports.Record // the newest of each key
}
