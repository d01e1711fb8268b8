package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
)

// BenchmarkSubmit offers 1,000 submissions a second to one entry host of three,
// while the log takes 300 appends a second, and reports what was accepted and
// how long it took.
func BenchmarkSubmit(b *testing.B) {
	c := startTestCell(b, testCellConfig{hosts: 3, workers: 50, appends: 300})
	c.team("lab", 1_000_000)
	until(b, "every group has an owner", func() bool {
		return len((&remote{h: c.hosts[0]}).Duties()) == len(testAzs)
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
