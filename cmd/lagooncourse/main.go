// Command lagooncourse is a cluster scheduler: the daemon of its entry hosts,
// the tools of its operators and callers, and small stand-ins for the platform
// that it runs on.
//
// # Usage
//
//	lagooncourse entry --config FILE.ini
//	lagooncourse submit -f JOB.ini
//	lagooncourse help
package main

import (
	"os"

	"lagooncourse/internal/tool/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr)) }
