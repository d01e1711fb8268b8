// Command standin plays a small deployment of lagooncourse on loopback addresses: the
// platform's store, executors, clients and an operator as stand-ins, and the project's
// own program as entry hosts in separate processes.
//
//	standin CASE RECORD     plays a case and writes what was seen to the file RECORD
//	standin executor ...    runs one executor; the cases start these
//
// A case exits with 1 if its rule was broken, 0 if it held and 2 if it could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "executor" {
		fmt.Fprintln(os.Stderr, runExecutor(os.Args[2:]))
		os.Exit(2)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status.
func play(name, recordPath string) (status int) {
	f, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec := &recorder{f: f, start: time.Now()}
	w := &world{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	go func() { // ends the case's processes with this one
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		rec.note("cannot run: ended early")
		w.stop()
		os.Exit(2)
	}()
	defer func() {
		if v := recover(); v != nil {
			if _, ok := v.(cannotRun); !ok {
				defer panic(v)
			}
			rec.note("cannot run: %v", v)
			status = 2
		}
		w.stop()
		rec.note("exit %d", status)
		f.Close()
	}()
	rec.note("case %s, trouble %v", name, w.trouble)
	if broken := cases[name](w); broken != "" {
		rec.note("BROKEN: %s", broken)
		return 1
	}
	rec.note("held")
	return 0
}

// maxTime is the longest time of a case.
const maxTime = 115 * time.Second

// cannotRun is the value of a panic that ends a case that can't run.
type cannotRun string

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// note writes one line with the time since the start of the case.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.f.WriteString(line)
	fmt.Print(line)
}
