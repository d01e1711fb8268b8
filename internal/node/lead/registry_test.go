package lead

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// grownRegistry confirms all appends. Its registry lists w1 and an odd entry; later records
// are read from its log.
type grownRegistry struct {
	mu      sync.Mutex
	records []ports.Record
}

// oddEntry is a registry entry that ParseWorker refuses. The error quotes it.
var oddEntry = []byte("odd" + strings.Repeat("[", 200<<10))

func (s *grownRegistry) Append(context.Context, ports.AppendRequest) (int64, error) { return 0, nil }

func (s *grownRegistry) Newest(context.Context, string, string) (ports.Newest, error) {
	return ports.Newest{Records: []ports.Record{{Key: "odd", Value: oddEntry}, {Key: "w1", Value: []byte("x")}}, End: 10}, nil
}

func (s *grownRegistry) Read(_ context.Context, r ports.ReadRequest) (p ports.Page, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.End = int64(10 + len(s.records))
	if n := r.From - 10; n >= 0 && n < int64(len(s.records)) {
		p.Records = append(p.Records, s.records[n:]...)
	}
	return p, nil
}

// put appends a record to the registry.
func (s *grownRegistry) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, ports.Record{Offset: int64(10 + len(s.records)), Key: key, Value: value})
}

// TestOddEntryIsSkipped guards against an owner that stops to follow the registry, or fills
// its log, because of an odd entry of another writer: workers that register after it must
// be used, and a worker whose own entry is replaced by an odd one keeps its last.
func TestOddEntryIsSkipped(t *testing.T) {
	store := &grownRegistry{}
	r := &recorder{starts: make(chan ports.StartOrder, 10), advice: make(chan string, 10)}
	logged := 0
	var mu sync.Mutex
	cfg := ownerConfig(sched.NewState(), store, r, clock.System{})
	cfg.Logger = funcr.New(func(_, args string) {
		mu.Lock()
		defer mu.Unlock()
		logged += len(args)
	}, funcr.Options{})
	parse := cfg.ParseWorker
	cfg.ParseWorker = func(key string, value []byte) (sched.WorkerInfo, error) {
		if strings.HasPrefix(string(value), "odd") {
			return sched.WorkerInfo{}, errors.New(string(value))
		}
		return parse(key, value)
	}
	o := startOwner(t, cfg)
	for range 200 {
		store.put("odd", oddEntry)
	}
	store.put("w1", oddEntry)
	store.put("w2", []byte("x"))
	polls.Until(t, pollTimeout, "the worker after the odd entries is known", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		_, known := o.workerClocks["w2"]
		return known
	})
	_, known := o.worker("w1")
	assert.Assert(t, known)
	_, known = o.worker("odd")
	assert.Assert(t, !known)
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, logged < 64<<10, "%d bytes were logged", logged)
}
