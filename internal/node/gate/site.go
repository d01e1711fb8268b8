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
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// siteState is the configuration and the availability zones out of service,
// according to the operator topic. It never returns to an older version.
type siteState struct {
	mu          sync.Mutex
	newest      map[string]ports.Record // newest record of each key
	next        int64                   // offset of the first record not read yet
	site        ports.Site
	closedZones map[string]bool   // availability zones out of service
	teamByKey   map[string]string // team of each API key
	lastRead    time.Time         // last successful read from the store or a peer
}

func newSiteState() *siteState {
	return &siteState{newest: map[string]ports.Record{}, closedZones: map[string]bool{}, teamByKey: map[string]string{}}
}

// Timeouts and intervals of reading the operator topic.
const (
	siteLongPoll   = 2 * time.Second // maximum wait of a read for new records
	siteTimeout    = time.Second     // of a read, in addition to its wait
	siteRetryPause = 200 * time.Millisecond
)

// ready reports whether a configuration has been read.
func (s *siteState) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.site.Version > 0
}

// offset returns the offset of the first operator record not read yet.
func (s *siteState) offset() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// view returns the configuration for the planner.
func (s *siteState) view() sched.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := sched.View{Queues: map[string]sched.Queue{}, Teams: map[string]sched.Limit{}, Closed: map[string]bool{}}
	for _, q := range s.site.Queues {
		v.Queues[q.Name] = q
	}
	for _, t := range s.site.Teams {
		v.Teams[t.Name] = sched.Limit{Max: t.Max, Weight: t.Weight}
	}
	for az := range s.closedZones {
		v.Closed[az] = true
	}
	return v
}

// route returns the queue with this host name whose prefix is the longest prefix of
// path.
func (s *siteState) route(host, path string) (q sched.Queue, ok bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.site.Queues {
		if strings.EqualFold(c.Host, host) && strings.HasPrefix(path, c.Prefix) && (!ok || len(c.Prefix) > len(q.Prefix)) {
			q, ok = c, true
		}
	}
	return q, ok
}

// team returns the client account of an API key.
func (s *siteState) team(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.teamByKey[key]
	return t, ok
}

// limits returns the configured limits.
func (s *siteState) limits() ports.Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.site.Limits
}

// siteLoop reads the operator topic.
func (h *Host) siteLoop(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil {
		var err error
		next, err = h.readSite(ctx, next)
		if err != nil {
			clock.Sleep(ctx, siteRetryPause)
		}
	}
}

// readSite applies the records from the offset next on, or the newest record of each
// key if next is negative. It returns the next offset.
func (h *Host) readSite(ctx context.Context, next int64) (int64, error) {
	if next < 0 {
		return h.readNewestSite(ctx)
	}
	wait := siteLongPoll
	if !h.store.healthy() {
		wait = 0
	}
	rctx, cancel := context.WithTimeout(ctx, wait+siteTimeout)
	defer cancel()
	page, err := h.store.Read(rctx, ports.ReadRequest{Topic: h.cfg.OperatorTopic, From: next, Wait: wait})
	var gone *ports.GoneError
	if errors.As(err, &gone) {
		return h.readNewestSite(ctx)
	}
	if err != nil {
		return next, err
	}
	h.applySite(page.Records, page.End)
	for _, r := range page.Records {
		next = r.Offset + 1
	}
	if wait == 0 && len(page.Records) == 0 {
		clock.Sleep(ctx, siteRetryPause)
	}
	return next, nil
}

// readNewestSite applies the newest record of each key and drops all other keys.
func (h *Host) readNewestSite(ctx context.Context) (int64, error) {
	rctx, cancel := context.WithTimeout(ctx, siteTimeout)
	defer cancel()
	all, end, err := ports.ReadNewest(rctx, h.store, h.cfg.OperatorTopic)
	if err != nil {
		return -1, err
	}
	h.site.dropMissing(all, end)
	h.applySite(all, end)
	return end, nil
}

// dropMissing drops the keys that are not in all, the newest record of each key at
// offset end. It does nothing if the topic has been read beyond end.
func (s *siteState) dropMissing(all []ports.Record, end int64) {
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

// applySite applies records of the operator topic, read from the store or a peer.
func (h *Host) applySite(records []ports.Record, end int64) {
	s := h.site
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
	closedZones := map[string]bool{}
	for key, r := range s.newest {
		if o := h.cfg.ParseOperator(key); o.Az != "" && len(r.Value) > 0 {
			closedZones[o.Az] = true
		}
	}
	changed = changed || len(closedZones) != len(s.closedZones)
	s.closedZones = closedZones
	s.mu.Unlock()
	if changed {
		h.viewChanged()
	}
}

// applyOperator replaces the configuration if r holds a newer version. It only logs a
// record of an availability zone, which applySite applies. The caller holds s.mu.
func (h *Host) applyOperator(s *siteState, r ports.Record) {
	o := h.cfg.ParseOperator(r.Key)
	switch {
	case o.Az != "":
		h.log.Info("availability zone", "az", o.Az, "out", len(r.Value) > 0, "offset", r.Offset)
	case o.Config && len(r.Value) > 0:
		site, err := h.cfg.ParseSite(r.Value)
		if err != nil {
			h.log.Error(err, "ignoring invalid configuration", "offset", r.Offset)
			return
		}
		if site.Version <= s.site.Version {
			return
		}
		h.log.Info("configuration", "version", site.Version, "before", s.site.Version, "offset", r.Offset)
		s.site = site
		s.teamByKey = map[string]string{}
		for _, t := range site.Teams {
			for _, k := range t.Keys {
				s.teamByKey[k] = t.Name
			}
		}
	}
}

// serveSite returns the newest operator records if this host has read further than
// the peer.
func (h *Host) serveSite(_ context.Context, m siteMsg) (siteAnswer, error) {
	s := h.site
	s.mu.Lock()
	defer s.mu.Unlock()
	a := siteAnswer{Next: s.next}
	if m.Next >= s.next {
		return a, nil
	}
	for _, r := range s.newest {
		a.Records = append(a.Records, r)
	}
	return a, nil
}

// fetchSite fetches the operator records from a peer that has newer ones.
func (h *Host) fetchSite(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	a, err := frame.Call(ctx, h.pool, addr, siteMethod, siteMsg{Next: h.site.offset()})
	if err == nil {
		h.applySite(a.Records, a.Next)
	}
}
