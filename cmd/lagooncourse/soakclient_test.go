package main

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"time"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/platform/mock"
)

// call sends one request over the client's open connection, and returns status and body.
// The status is 0 if there was no answer.
func (s *soak) call(c *http.Client, h *soakHost, method, id string, body []byte) (int, string) {
	status, text, _ := s.callAs(c, h, method, sched.Spec{ID: id}, body)
	return status, text
}

// callAs sends a request about a job to its queue, with the key of its team, and returns
// status, body and headers.
func (s *soak) callAs(c *http.Client, h *soakHost, method string, spec sched.Spec, body []byte) (int, string, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), soakCallTime)
	defer cancel()
	queue, team := cmp.Or(spec.Queue, s.cfg.queues[0].name), cmp.Or(spec.Team, s.cfg.teams[0].name)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.api+"/"+queue+"/"+spec.ID, bytes.NewReader(body))
	if err != nil {
		return 0, "", nil
	}
	r.Host = "h.example"
	r.Header.Set("Authorization", "Bearer "+team)
	r.Header.Set("X-Lagooncourse-Deadline-Ms", fmt.Sprint(soakCallTime.Milliseconds()))
	sent := time.Now()
	resp, err := c.Do(r)
	if err != nil {
		s.noteCut(h, method, spec.ID, sent, err)
		return 0, "", nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.noteCut(h, method, spec.ID, sent, err)
		return 0, "", nil
	}
	return resp.StatusCode, string(data), resp.Header
}

// lossSlack is the time after a request was sent from which on its connection may not end
// without an answer around planned work: lossSlackMs.
const lossSlack = 200 * time.Millisecond

// noteCut records a request whose connection ended without a complete answer while a host
// was stopped as planned.
func (s *soak) noteCut(h *soakHost, method, id string, sent time.Time, err error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return // no request was sent
	}
	if d := time.Since(sent); d > lossSlack && !errors.Is(err, context.DeadlineExceeded) && h.stopping() {
		s.find("LOST: %s %s at %s got no answer while the host was stopping: %v after %s", method, id, h.ip, err, d)
	}
}

// path returns the parts of a job's spec that name it in a request.
func (s *soak) path(j *soakJob) sched.Spec {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sched.Spec{ID: j.id, Queue: j.spec.Queue, Team: j.spec.Team}
}

// client hands in jobs one after the other, asks for them, and cancels some.
func (s *soak) client(n int, rnd *rand.Rand) {
	defer s.clients.Done()
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	at := n
	var mine []*soakJob // accepted
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		default:
		}
		j := &soakJob{id: soakID('a', n, i)}
		long := rnd.Intn(4) == 0
		kind := shortJob
		if long {
			kind = longJob
		}
		s.submit(c, j, &at, rnd, kind)
		if j.accepted.IsZero() {
			continue
		}
		mine = append(mine, j)
		if j := mine[rnd.Intn(len(mine))]; time.Since(j.accepted) < soakStatus {
			s.ask(c, j, &at)
		}
		if long || rnd.Intn(8) == 0 {
			time.Sleep(time.Duration(rnd.Intn(800)) * time.Millisecond)
			s.cancel(c, j, &at)
			continue
		}
		for range rnd.Intn(3) {
			time.Sleep(time.Duration(rnd.Intn(300)) * time.Millisecond)
			s.ask(c, j, &at)
		}
	}
}

// longMs is the work of tasks of long jobs. It outlasts a series of faults and the bounds
// after it, so that a run that is not stopped is seen.
const longMs = 18_000

type jobKind int

const (
	shortJob  jobKind = iota
	mediumJob         // its work outlasts the time between two crashes
	longJob           // it is there to be cancelled
)

// soakID returns the ID of the ith job of a series. Each two in turn differ only in the case of
// letters, of which first, a hexadecimal digit, is one.
func soakID(first rune, series, i int) string {
	id := fmt.Sprintf("%c%07x%08x", first, series, i/2)
	if i%2 == 1 {
		return strings.ToUpper(id)
	}
	return id
}

// submit hands in a random job.
func (s *soak) submit(c *http.Client, j *soakJob, at *int, rnd *rand.Rand, kind jobKind) {
	spec := sched.Spec{ID: j.id, Payload: j.id}
	steps := 1 + rnd.Intn(2)
	for i := range steps {
		step := sched.Step{Count: 1 + rnd.Intn(3), Size: jobs.Size{CPU: int64(200 + rnd.Intn(1500)), Mem: 10}, EstimateMs: int64(50 + rnd.Intn(900)), Gang: rnd.Intn(5) == 0}
		if i > 0 {
			step.DependsOn = []int{0}
		}
		spec.Steps = append(spec.Steps, step)
	}
	switch kind {
	case mediumJob:
		for i := range spec.Steps {
			spec.Steps[i].Count += 2
			spec.Steps[i].Size.CPU /= 2
			spec.Steps[i].EstimateMs = 500 + 2*spec.Steps[i].EstimateMs
		}
	case longJob:
		spec.Steps = spec.Steps[:1]
		spec.Steps[0].EstimateMs = longMs
	}
	s.handIn(c, j, spec, at)
}

// handIn hands in a job until a host accepts it. Without an answer, the same job is handed
// in again at another host.
func (s *soak) handIn(c *http.Client, j *soakJob, spec sched.Spec, at *int) {
	s.fleet.RegisterJob(spec)
	s.mu.Lock()
	j.spec = spec
	s.jobs = append(s.jobs, j)
	s.mu.Unlock()
	unknown := false
	for try := 0; try < 8; try++ {
		status, _ := s.call(c, s.hosts[*at%len(s.hosts)], http.MethodPost, j.id, mock.JobBody(spec))
		s.mu.Lock()
		switch {
		case status/100 == 2:
			j.accepted = time.Now()
		case status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout || status == http.StatusInternalServerError:
			unknown = true
		}
		s.mu.Unlock()
		if status/100 == 2 {
			return
		}
		*at++
		time.Sleep(200 * time.Millisecond)
	}
	s.mu.Lock()
	j.refused = !unknown
	s.mu.Unlock()
}

// cancel cancels a job until that is acknowledged.
func (s *soak) cancel(c *http.Client, j *soakJob, at *int) {
	s.mu.Lock()
	j.cancelling = time.Now()
	s.mu.Unlock()
	for end := time.Now().Add(soakCancelTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, _, _ := s.callAs(c, s.hosts[*at%len(s.hosts)], http.MethodDelete, s.path(j), nil)
		if status/100 == 2 || status == http.StatusGone {
			s.mu.Lock()
			j.cancelled = time.Now()
			s.mu.Unlock()
			return
		}
		*at++
	}
}

// ask asks for the state of a job, checks the answer, and reports whether it was a state.
func (s *soak) ask(c *http.Client, j *soakJob, at *int) bool {
	sent := time.Now()
	status, body, _ := s.callAs(c, s.hosts[*at%len(s.hosts)], http.MethodGet, s.path(j), nil)
	s.mu.Lock()
	cancelling, accepted := !j.cancelling.IsZero(), j.accepted
	s.mu.Unlock()
	switch {
	case status == 0 || status >= http.StatusInternalServerError:
		*at++
	case status == http.StatusGone && sent.Sub(accepted) > soakVisible:
		s.find("LOST: accepted job %s is answered 410", j.id)
	case strings.Contains(body, "completed"):
		if !s.fleet.AllDone(j.id) {
			s.find("MIXED: job %s is shown as completed, but is not done", j.id)
		}
		s.end(j, "completed")
	case strings.Contains(body, "cancelled"):
		if !cancelling {
			s.find("LOST: job %s is shown as cancelled", j.id)
		}
		s.end(j, "cancelled")
	case strings.Contains(body, "failed"):
		s.end(j, "failed")
	}
	return status == http.StatusOK
}

// end notes the state in which a job was shown to have ended, which is the last one.
func (s *soak) end(j *soakJob, state string) {
	s.mu.Lock()
	before := j.ended
	j.ended = state
	if state == "completed" && j.completed.IsZero() {
		j.completed = time.Now()
	}
	if state == "failed" && j.failed.IsZero() {
		j.failed = time.Now()
	}
	s.mu.Unlock()
	if before != "" && before != state {
		s.find("MIXED: job %s is shown as %s, and was as %s before", j.id, state, before)
	}
}
