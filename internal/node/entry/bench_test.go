package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/plat/fakes"
)

// BenchmarkSubmit sends 1,000 submissions per second to one of three entry hosts,
// with a log that is limited to 300 appends per second. It reports the rate and the
// latency of the accepted submissions.
func BenchmarkSubmit(b *testing.B) {
	c := startTestCell(b, testCellConfig{hosts: 3, workers: 50, appendsPerSecond: 300})
	c.createTeam("lab", 1_000_000)
	until(b, "every group has an owner", func() bool {
		return len((&remote{h: c.hosts[0]}).Groups()) == len(testAzs)
	})
	const (
		perSecond = 1000
		seconds   = 5
	)
	for b.Loop() {
		h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		var mu sync.Mutex
		var wg sync.WaitGroup
		failed := 0
		start := time.Now()
		for i := range perSecond * seconds {
			time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / perSecond)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				spec := testSpec("burst", 60_000).WithSubmission(fmt.Sprintf("%d-%d", start.UnixNano(), i))
				sent := time.Now()
				_, err := send[jobs.Job](c.hosts[0], "lab.secret", http.MethodPost, "/jobs", spec)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed++
					return
				}
				_ = h.RecordValue(time.Since(sent).Microseconds())
			}()
		}
		wg.Wait()
		b.ReportMetric(float64(h.TotalCount())/time.Since(start).Seconds(), "accepted/s")
		b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
		b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
		b.ReportMetric(float64(failed), "failed")
		assert.Assert(b, h.TotalCount() > 0)
	}
}

// BenchmarkTakeover kills an entry host and measures the time until other hosts own
// all of its groups.
func BenchmarkTakeover(b *testing.B) {
	h := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	for b.Loop() {
		c := startTestCell(b, testCellConfig{hosts: 3, workers: 12})
		until(b, "every group has an owner", func() bool {
			return len((&remote{h: c.hosts[0]}).Groups()) == len(testAzs)
		})
		victim := c.hosts[2]
		epochs := victim.ownedEpochs()
		start := time.Now()
		victim.Kill()
		until(b, "other hosts own its groups", func() bool {
			for name := range epochs {
				if c.hosts[0].ownedGroup(name) == nil && c.hosts[1].ownedGroup(name) == nil {
					return false
				}
			}
			return true
		})
		_ = h.RecordValue(time.Since(start).Milliseconds())
		c.close()
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(float64(h.Max()), "max-ms")
}

// BenchmarkOutage reports how many of 500 calls succeed before and during an outage
// of the log.
func BenchmarkOutage(b *testing.B) {
	for _, idempotent := range []bool{true, false} {
		b.Run(fmt.Sprintf("idempotent=%t", idempotent), func(b *testing.B) {
			c := startTestCell(b, testCellConfig{hosts: 3, workers: 6})
			c.createTeam("lab", 8000)
			waitForMembership(c)
			for b.Loop() {
				before := successfulCalls(c, idempotent, "before")
				c.log.Set(fakes.LogFaults{Outage: true})
				during := successfulCalls(c, idempotent, "during")
				c.log.Set(fakes.LogFaults{})
				b.ReportMetric(float64(before), "before")
				b.ReportMetric(float64(during), "during")
			}
		})
	}
}

// successfulCalls sends 100 calls per second for 5 s and returns the number of
// successful ones.
func successfulCalls(c *testCell, idempotent bool, idPrefix string) int64 {
	const calls = 500
	var done atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for i := range calls {
		time.Sleep(time.Until(start.Add(time.Duration(i) * 10 * time.Millisecond)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, _ := http.NewRequest(http.MethodPost, c.hosts[i%3].API()+"/call/triage", strings.NewReader("x"))
			r.Header.Set("Authorization", "Bearer lab.secret")
			r.Header.Set(HeaderCallID, fmt.Sprintf("%s-%t-%d-%d", idPrefix, idempotent, start.UnixNano(), i))
			r.Header.Set(HeaderIdempotent, strconv.FormatBool(idempotent))
			r.Header.Set(HeaderTimeout, "1000")
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if resp.Header.Get(HeaderOutcome) == string(fault.Done) {
				done.Add(1)
			}
		}()
	}
	wg.Wait()
	return done.Load()
}
