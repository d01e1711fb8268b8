package group

import "lagooncourse/internal/base/fault"

// Call is the record of a call to an executor that must run at most once. It is
// written before the call is sent, and again with the outcome.
//
// After a takeover the new owner cannot find out whether a call without an
// outcome ran, because executors neither check fencing tokens nor keep records of
// calls. It answers every retry with Unknown and does not send the call again.
type Call struct {
	Team    string
	ID      string        // idempotency key within the team
	Epoch   uint64        // epoch in which the call was sent
	AtMs    int64         // time at which the call was first recorded, in ms since 1970
	Outcome fault.Outcome // empty while the call is in progress
	Status  int
	Answer  []byte // not stored if longer than MaxAnswerBytes
	Dropped bool   // the answer was too long to store
}

// MaxAnswerBytes limits the size of an answer that is stored for retries.
const MaxAnswerBytes = 4 << 10

// WithOutcome returns the call with its outcome and answer.
func (c Call) WithOutcome(outcome fault.Outcome, status int, answer []byte) Call {
	c.Outcome, c.Status, c.Answer = outcome, status, answer
	if len(answer) > MaxAnswerBytes {
		c.Answer, c.Dropped = nil, true
	}
	return c
}

// Key returns the call's key in State.Calls.
func (c Call) Key() string { return RequestKey(c.Team, c.ID) }

// applyCall stores a call or its outcome. A call with the outcome NotRun is
// removed, so that a retry can run it. Any other outcome is never changed.
func (s *State) applyCall(c Call) {
	old, seen := s.Calls[c.Key()]
	if seen && old.Outcome != "" {
		return
	}
	if c.Outcome == fault.NotRun {
		delete(s.Calls, c.Key())
		return
	}
	s.Calls[c.Key()] = c
}
