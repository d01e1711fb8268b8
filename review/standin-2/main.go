// Command standin2 plays one scenario against processes of the program: it is the platform's
// store, the executors, the operator and the clients.
//
//	standin2 SCENARIO RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	unable = 2
)

var scenarios = map[string]struct {
	executors, hosts int
	run              func(p *play, trouble bool) int
}{
	"renamed":   {48, 3, playRenamed},
	"digits":    {48, 3, playDigits},
	"lasting":   {12, 3, playLasting},
	"schedules": {48, 3, playSchedules},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCENARIO RECORD")
		os.Exit(unable)
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		os.Exit(unable)
	}
	p, err := newPlay(os.Args[2], s.executors, s.hosts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	code := unable
	if p.awaitReady(20e9) {
		code = s.run(p, os.Getenv("TROUBLE") != "0")
	} else {
		p.note("the hosts are not ready")
	}
	p.note("result: %d", code)
	p.close()
	os.Exit(code)
}
