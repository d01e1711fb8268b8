package gate

import (
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// RPC methods between entry hosts. Their IDs differ from those of node/wire.
var (
	pingMethod   = frame.Method[ping, ping]{ID: 40, Name: "ping"}
	callMethod   = frame.Method[callMsg, callAnswer]{ID: 41, Name: "call"}
	adviseMethod = frame.Method[adviseMsg, adviseAnswer]{ID: 42, Name: "advise"}
	appendMethod = frame.Method[ports.AppendRequest, appendAnswer]{ID: 43, Name: "append"}
	readMethod   = frame.Method[ports.ReadRequest, readAnswer]{ID: 44, Name: "read"}
	newestMethod = frame.Method[newestMsg, readAnswer]{ID: 45, Name: "newest"}
	configMethod = frame.Method[configMsg, configAnswer]{ID: 46, Name: "site"}
)

// ping is both the request and the answer of a ping: the state of its sender.
type ping struct {
	Addr       string // of the sender, for calls from other entry hosts
	Az         string
	Leaving    bool   // the sender is shutting down
	Epoch      int64  // highest epoch known to the sender
	Owner      string // address of the owner in Epoch; empty if unknown
	OwnerAgeMs int64  // since the sender's last contact with the owner; 0 if it is the owner
	ConfigNext int64  // offset of the first operator record that the sender has not read
	StoreOK    bool   // the sender's last direct store call got a definitive answer
	Claim      bool   // asks the receiver to claim ownership immediately
	CPUMillis  int64  // CPU limit of the sender in millicores
	ExactIDs   bool   // the sender keeps the spelling of job IDs; hosts of earlier versions convert them to lower case
}

// callKind is the operation of a forwarded call.
type callKind uint8

// Operations of forwarded calls.
const (
	callSubmit callKind = iota
	callStatus
	callCancel
	callPending
)

// callMsg is a validated client request for the owner.
type callMsg struct {
	Kind       callKind
	Spec       sched.Spec // for callSubmit
	ID         string
	Queue      string
	ConfigNext int64 // operator topic offset of the configuration used for validation

	QueueConfig sched.Queue // the queue named Queue; empty from hosts of an earlier version
}

// callAnswer is the result of a call.
type callAnswer struct {
	Status  sched.Status // for callStatus
	Pending int          // for callPending
	Epoch   int64        // of the owner; 0 from hosts of an earlier version
}

// adviseMsg is an advice request.
type adviseMsg struct {
	Step    string
	Workers []string
}

// adviseAnswer is the result of an advice request.
type adviseAnswer struct {
	Advice ports.Advice
	AgeMs  int64 // not used: always 0, the receiver estimates the age
}

// appendAnswer is the result of a relayed append.
type appendAnswer struct {
	Offset int64
	Reason ports.Refusal // set if the store refused
	Status int
}

// readAnswer is the result of a relayed read.
type readAnswer struct {
	Page   ports.Page
	More   string        // key to continue with; empty on the last page
	Gone   bool          // the requested records have expired
	Reason ports.Refusal // set if the store refused
	Status int
}

// newestMsg requests a page of the newest record of each key. After is the field
// More of the previous page, empty for the first.
type newestMsg struct {
	Topic string
	After string
}

// configMsg requests the operator records if the receiver has read beyond offset
// Next.
type configMsg struct{ Next int64 }

// configAnswer holds the offset up to which the sender has read the operator topic,
// and its records if they were requested.
type configAnswer struct {
	Next    int64
	Records []ports.Record // the newest of each key
}
