package gate

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/guard"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// configState is the configuration and the availability zones out of service,
// according to the operator topic. It never returns to an older version.
type configState struct {
	mu        sync.Mutex
	newest    map[string]ports.Record // newest record of each key
	next      int64                   // offset of the first record not read yet
	config    ports.ClusterConfig
	closedAzs map[string]bool   // availability zones out of service
	teamByKey map[string]string // team of each API key
	lastRead  time.Time         // last successful read from the store or a peer
	fetching  bool              // a fetch from a peer is under way
	timeout   time.Duration     // of the next read; used by the config loop only
}

func newConfigState() *configState {
	return &configState{newest: map[string]ports.Record{}, closedAzs: map[string]bool{}, teamByKey: map[string]string{}, timeout: configTimeout}
}

// noteTimeout doubles the timeout of the next read after a read has timed out, up to
// maxConfigTimeout, and restores it after one that has succeeded.
func (s *configState) noteTimeout(timedOut bool) {
	if timedOut {
		s.timeout = min(2*s.timeout, maxConfigTimeout)
		return
	}
	s.timeout = configTimeout
}

// Timeouts and intervals of reading the operator topic.
const (
	configLongPoll   = 2 * time.Second // maximum wait of a read for new records
	configTimeout    = time.Second     // of a read, in addition to its wait, unless earlier ones have timed out
	maxConfigTimeout = 4 * time.Second // of a read after others have timed out, and of a fetch from a peer: 1 MB over a shared link of 10 Mbit/s takes about 2 s
	configRetryPause = 200 * time.Millisecond
	configPageKiB    = 256 // of a read: a few versions with thousands of routes would exceed the timeout as one answer
)

// ready reports whether a configuration has been read.
func (s *configState) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Version > 0
}

// offset returns the offset of the first operator record not read yet.
func (s *configState) offset() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// policy returns the configuration for the planner.
func (s *configState) policy() sched.Policy {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := sched.Policy{Unread: s.config.Version == 0, Queues: map[string]sched.Queue{}, Teams: map[string]sched.Limit{}, ClosedAzs: map[string]bool{}}
	for _, q := range s.config.Queues {
		v.Queues[q.Name] = q
	}
	if len(s.config.Services) > 0 {
		v.Services = map[string]bool{}
	}
	for _, name := range s.config.Services {
		v.Services[name] = true
	}
	for _, t := range s.config.Teams {
		v.Teams[t.Name] = sched.Limit{Max: t.Max, Weight: t.Weight}
	}
	for az := range s.closedAzs {
		v.ClosedAzs[az] = true
	}
	return v
}

// route returns the queue with this host name whose prefix is the longest prefix of
// path.
func (s *configState) route(host, path string) (q sched.Queue, ok bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.config.Queues {
		if strings.EqualFold(c.Host, host) && strings.HasPrefix(path, c.Prefix) && (!ok || len(c.Prefix) > len(q.Prefix)) {
			q, ok = c, true
		}
	}
	return q, ok
}

// team returns the client account of an API key.
func (s *configState) team(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.teamByKey[key]
	return t, ok
}

// limits returns the configured limits.
func (s *configState) limits() ports.Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Limits
}

// configLoop reads the operator topic.
func (h *Host) configLoop(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil {
		var err error
		next, err = h.readConfig(ctx, next)
		if err != nil {
			clock.Sleep(ctx, configRetryPause)
		}
	}
}

// readConfig applies the records from the offset next on, or the newest record of each
// key if next is negative. It returns the next offset.
func (h *Host) readConfig(ctx context.Context, next int64) (int64, error) {
	if next < 0 {
		return h.readNewestConfig(ctx)
	}
	wait := configLongPoll
	if !h.store.healthy() {
		wait = 0 // a read with a wait is not tried through peers until it has failed
	}
	rctx, cancel := context.WithTimeout(ctx, wait+h.config.timeout)
	defer cancel()
	page, err := h.store.Read(rctx, ports.ReadRequest{Topic: h.cfg.OperatorTopic, From: next, Wait: wait, MaxKiB: configPageKiB, Large: true})
	if err == nil || rctx.Err() != nil {
		h.config.noteTimeout(err != nil)
	}
	var gone *ports.GoneError
	if errors.As(err, &gone) {
		return h.readNewestConfig(ctx)
	}
	if err != nil {
		return next, err
	}
	h.applyConfig(page.Records, page.End)
	for _, r := range page.Records {
		next = r.Offset + 1
	}
	if wait == 0 && len(page.Records) == 0 {
		clock.Sleep(ctx, configRetryPause)
	}
	return next, nil
}

// readNewestConfig applies the newest record of each key and drops all other keys.
func (h *Host) readNewestConfig(ctx context.Context) (int64, error) {
	sent := h.clock.Now()
	all, end, err := ports.ReadNewest(ctx, h.store, h.cfg.OperatorTopic, h.config.timeout)
	if err != nil {
		if h.clock.Now().Sub(sent) >= h.config.timeout {
			h.config.noteTimeout(true)
		}
		return -1, err
	}
	h.config.noteTimeout(false)
	h.config.dropMissing(all, end)
	h.applyConfig(all, end)
	return end, nil
}

// dropMissing drops the keys that are not in all, the newest record of each key at
// offset end. It does nothing if the topic has been read beyond end.
func (s *configState) dropMissing(all []ports.Record, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end < s.next {
		return
	}
	present := map[string]bool{}
	for _, r := range all {
		present[r.Key] = true
	}
	for key := range s.newest {
		if !present[key] {
			delete(s.newest, key)
		}
	}
}

// applyConfig applies records of the operator topic, read from the store or a peer.
func (h *Host) applyConfig(records []ports.Record, end int64) {
	s := h.config
	s.mu.Lock()
	changed := false
	for _, r := range records {
		if old, ok := s.newest[r.Key]; r.Key == "" || ok && old.Offset >= r.Offset {
			continue
		}
		s.newest[r.Key] = r
		changed = true
		h.applyOperator(s, r)
	}
	s.next = max(s.next, end)
	s.lastRead = h.clock.Now()
	closedAzs := map[string]bool{}
	for key, r := range s.newest {
		if o := h.cfg.ParseOperatorKey(key); o.Az != "" && len(r.Value) > 0 {
			closedAzs[o.Az] = true
		}
	}
	changed = changed || len(closedAzs) != len(s.closedAzs)
	s.closedAzs = closedAzs
	s.mu.Unlock()
	if changed {
		h.policyChanged()
	}
}

// applyOperator replaces the configuration if r holds a newer version. It only logs a
// record of an availability zone, which applyConfig applies. The caller holds s.mu.
func (h *Host) applyOperator(s *configState, r ports.Record) {
	o := h.cfg.ParseOperatorKey(r.Key)
	switch {
	case o.Az != "":
		h.log.Info("availability zone", "az", o.Az, "out", len(r.Value) > 0, "offset", r.Offset)
	case o.Config && len(r.Value) > 0:
		config, err := h.parseConfig(r.Value)
		if err != nil {
			h.log.Error(err, "ignoring invalid configuration", "offset", r.Offset)
			return
		}
		if config.Version <= s.config.Version {
			return
		}
		h.log.Info("configuration", "version", config.Version, "before", s.config.Version, "offset", r.Offset)
		s.config = config
		s.teamByKey = map[string]string{}
		for _, t := range config.Teams {
			for _, k := range t.Keys {
				s.teamByKey[k] = t.Name
			}
		}
	}
}

// serveConfig returns the newest operator records if this host has read further than
// the peer.
func (h *Host) serveConfig(_ context.Context, m configMsg) (configAnswer, error) {
	s := h.config
	s.mu.Lock()
	defer s.mu.Unlock()
	a := configAnswer{Next: s.next}
	if m.Next >= s.next {
		return a, nil
	}
	for _, r := range s.newest {
		a.Records = append(a.Records, r)
	}
	return a, nil
}

// beginFetch reports whether a fetch from a peer may begin: this host has not read up to
// offset next, and no other fetch is under way. A fetch for each ping of a host that is
// ahead would fill a slow link with copies of the same records, of which none arrives.
func (s *configState) beginFetch(next int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetching || next <= s.next {
		return false
	}
	s.fetching = true
	return true
}

func (s *configState) endFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching = false
}

// fetchConfig fetches the operator records from a peer that has newer ones, after
// beginFetch.
func (h *Host) fetchConfig(addr string) {
	defer h.config.endFetch()
	ctx, cancel := context.WithTimeout(context.Background(), maxConfigTimeout)
	defer cancel()
	a, err := frame.Call(ctx, h.pool, addr, configMethod, configMsg{Next: h.config.offset()})
	if err == nil {
		h.applyConfig(a.Records, a.Next)
	}
}

// parseConfig decodes a configuration. A panic of the decoder costs only this version.
func (h *Host) parseConfig(value []byte) (c ports.ClusterConfig, err error) {
	defer guard.Error(&err, h.log, "configuration")
	return h.cfg.ParseConfig(value)
}
