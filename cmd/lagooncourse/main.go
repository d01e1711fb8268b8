// Command lagooncourse is a cluster scheduler. It contains the daemon of the entry
// hosts, the commands for operators and callers, and stand-ins for the services of
// the platform, for tests and demonstrations.
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
