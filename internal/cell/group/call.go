package group

import "lagooncourse/internal/base/fault"

// Call is the record of a call that must run at most once. It is written
// before the call is sent, and once more with its outcome.
//
// A successor that finds a call without an outcome cannot know whether it ran:
// the executors take no fencing token and keep no record that could be asked.
// It answers Unknown to every repetition and never sends the call again.
type Call struct {
	Team    string
	ID      string
	Epoch   uint64 // in which the call was sent
	AtMs    int64
	Ran     fault.Outcome // empty while it is under way
	Status  int
	Answer  []byte // kept if it has at most MaxKeptAnswer bytes
	Dropped bool   // the answer was too long to keep
}

// MaxKeptAnswer bounds the answers that are kept for repetitions, in bytes.
const MaxKeptAnswer = 4 << 10

// WithOutcome returns the call with how it ended.
func (c Call) WithOutcome(ran fault.Outcome, status int, answer []byte) Call {
	c.Ran, c.Status, c.Answer = ran, status, answer
	if len(answer) > MaxKeptAnswer {
		c.Answer, c.Dropped = nil, true
	}
	return c
}

// Key returns the call's key in State.Calls.
func (c Call) Key() string { return SubKey(c.Team, c.ID) }

// applyCall adds a call or its outcome. A call that surely did not run is
// removed, so that a repetition may run it. A known outcome never changes.
func (s *State) applyCall(c Call) {
	old, seen := s.Calls[c.Key()]
	if seen && old.Ran != "" {
		return
	}
	if c.Ran == fault.NotRun {
		delete(s.Calls, c.Key())
		return
	}
	s.Calls[c.Key()] = c
}
