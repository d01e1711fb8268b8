package logs

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Log of a busy day: 1,000 starts a second, with three lines for each.
const (
	linesPerSecond = 3_000
	planInterval   = 25 * time.Millisecond // the lines come in bursts
	queuedLines    = 8_192                 // of the daemon
	pipeBytes      = 256 << 10             // of the daemon
)

// logBusyDay writes numbered lines at the rate of a busy day until n lines were written.
// It calls logged after each.
func logBusyDay(w io.Writer, n int64, logged func(n int64)) {
	log := NewJSON(w, "info").WithName("lead").WithValues("epoch", 7)
	t := time.NewTicker(planInterval)
	defer t.Stop()
	started := time.Now()
	for i := int64(0); i < n; <-t.C {
		for due := min(n, int64(time.Since(started).Seconds()*linesPerSecond)); i < due; {
			i++
			log.Info("start", "task", "c4c329154724d5c0.0.0.2", "run", 1, "worker", "i-5f01d14df1", "outcome", "up", "err", "", "n", i)
			logged(i)
		}
	}
}

const (
	countFileEnv = "LOGS_TEST_COUNT_FILE"
	endlessLines = 1 << 40
)

// TestWriterProcess writes lines until it is killed by TestLinesOutliveTheirProcess. It
// does nothing in other runs. The mapped file tells how many lines it has logged.
func TestWriterProcess(t *testing.T) {
	path := os.Getenv(countFileEnv)
	if path == "" {
		return
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	assert.NilError(t, err)
	mem, err := unix.Mmap(int(f.Fd()), 0, 8, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	assert.NilError(t, err)
	count := (*int64)(unsafe.Pointer(&mem[0]))
	GrowPipe(os.Stdout, pipeBytes)
	logBusyDay(NewAsyncWriter(os.Stdout, queuedLines), endlessLines, func(n int64) { atomic.StoreInt64(count, n) })
}

// TestLinesOutliveTheirProcess kills a process that logs at the rate of a busy day, while
// the reader of its log reads or has been late for a moment. At most the lines of the
// last 100 ms may be missing.
func TestLinesOutliveTheirProcess(t *testing.T) {
	const maxLost = linesPerSecond / 10
	for name, c := range map[string]struct {
		atLine      int64 // at which the process is killed
		readerStops int64 // line after which nothing is read
	}{
		"reader in time": {atLine: linesPerSecond, readerStops: endlessLines},
		"reader late":    {atLine: linesPerSecond, readerStops: linesPerSecond * 7 / 10},
	} {
		t.Run(name, func(t *testing.T) {
			path := t.TempDir() + "/count"
			assert.NilError(t, os.WriteFile(path, make([]byte, 8), 0o600))
			logged := func() int64 {
				data, err := os.ReadFile(path)
				if !assert.Check(t, err) {
					return endlessLines
				}
				return int64(binary.NativeEndian.Uint64(data))
			}
			cmd := exec.Command(os.Args[0], "-test.run=^TestWriterProcess$")
			cmd.Env = append(os.Environ(), countFileEnv+"="+path)
			out, err := cmd.StdoutPipe()
			assert.NilError(t, err)
			assert.NilError(t, cmd.Start())
			killed := make(chan struct{})
			go func() {
				defer close(killed)
				for deadline := time.Now().Add(10 * time.Second); logged() < c.atLine && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond)
				}
				assert.Check(t, cmd.Process.Kill())
			}()
			var read int64
			for in := bufio.NewScanner(out); in.Scan(); {
				var l struct{ N int64 }
				if json.Unmarshal(in.Bytes(), &l) != nil {
					break // cut by the kill
				}
				assert.Equal(t, l.N, read+1)
				if read = l.N; read == c.readerStops {
					<-killed
				}
			}
			<-killed
			_ = cmd.Wait() // the process was killed
			assert.Assert(t, logged() >= c.atLine, "logged %d lines", logged())
			assert.Assert(t, logged()-read <= maxLost, "logged %d lines, read %d", logged(), read)
		})
	}
}

// slowWriter is a log whose reader stops reading for a while at one line.
type slowWriter struct {
	mu    sync.Mutex
	buf   bytes.Buffer
	stall chan struct{} // a write waits until it is closed
	begun chan struct{} // closed when the first write begins; nil if nobody waits for it
	once  sync.Once
}

func (w *slowWriter) Write(p []byte) (int, error) {
	if w.begun != nil {
		w.once.Do(func() { close(w.begun) })
	}
	<-w.stall
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// TestBusyDayDropsNoLines logs at the rate of a busy day while the reader stops for a
// second.
func TestBusyDayDropsNoLines(t *testing.T) {
	w := &slowWriter{stall: make(chan struct{})}
	time.AfterFunc(time.Second, func() { close(w.stall) })
	a := NewAsyncWriter(w, queuedLines)
	logBusyDay(a, 2*linesPerSecond, func(int64) {})
	assert.NilError(t, a.Close())
	assert.Equal(t, a.Dropped(), int64(0))
	assert.Equal(t, bytes.Count(w.buf.Bytes(), []byte("\n")), 2*linesPerSecond)
}

// TestDroppedLinesAreCounted fills the queue. Writing must not block, and the lines left
// out are counted.
func TestDroppedLinesAreCounted(t *testing.T) {
	const queued, n = 4, 20
	w := &slowWriter{stall: make(chan struct{}), begun: make(chan struct{})}
	a := NewAsyncWriter(w, queued)
	for i := range n {
		_, err := fmt.Fprintf(a, "{\"n\":%d}\n", i)
		assert.NilError(t, err)
		if i == 0 {
			<-w.begun // later lines stay in the queue
		}
	}
	dropped := a.Dropped()
	assert.Equal(t, dropped, int64(n-1-queued))
	close(w.stall)
	assert.NilError(t, a.Close())
	lines := strings.Split(strings.TrimSpace(w.buf.String()), "\n")
	var reported, kept int64
	for _, text := range lines {
		var l struct {
			Time  time.Time
			Msg   string
			Count int64
		}
		assert.NilError(t, json.Unmarshal([]byte(text), &l), "%s", text)
		if l.Msg == "log lines dropped" {
			reported += l.Count
			assert.Assert(t, !l.Time.IsZero())
		} else {
			kept++
		}
	}
	assert.Equal(t, reported, dropped)
	assert.Equal(t, kept+dropped, int64(n))
	assert.Equal(t, a.Dropped(), dropped, "the total stays after it was reported")
}
