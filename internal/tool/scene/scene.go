// Package scene defines scenario files: a cell, its teams, the jobs and calls
// that arrive, and the faults to inject.
//
// # Usage
//
//	s, err := scene.Load("faults.ini") // a path, or the name of an embedded scenario
package scene

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"
	"time"

	"lagooncourse/internal/base/conf"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/jobs"
)

//go:embed files/*.ini
var files embed.FS

// Scenario is the content of a scenario file.
type Scenario struct {
	Cell   Cell    `ini:"cell"`
	Teams  []Team  `ini:"team"`
	Work   []Work  `ini:"work"`
	Calls  []Calls `ini:"calls"`
	Faults []Fault `ini:"fault"`
}

// Cell describes the simulated platform and the entry hosts.
type Cell struct {
	Name       string        `ini:"name" required:"true" doc:"name of the deployment"`
	Seed       int64         `ini:"seed" def:"1" min:"0" max:"1000000000" doc:"seed of the arrivals"`
	Run        time.Duration `ini:"run" def:"8s" min:"1s" max:"1h" doc:"how long work arrives"`
	Settle     time.Duration `ini:"settle" def:"10s" min:"1s" max:"1h" doc:"how long to wait afterwards for the work to end"`
	Azs        []string      `ini:"azs" required:"true" doc:"availability zones"`
	Workers    int           `ini:"workers" def:"50" min:"1" max:"5000" doc:"number of workers"`
	RackSize   int           `ini:"rackSize" def:"8" min:"1" max:"100" doc:"workers in a rack"`
	CPU        int64         `ini:"cpuMillis" def:"64000" min:"1" max:"1000000" doc:"millicores of a worker"`
	Mem        int64         `ini:"memoryMiB" def:"131072" min:"1" max:"16777216" doc:"memory of a worker"`
	Accel      int64         `ini:"accelerators" def:"4" min:"0" max:"64" doc:"devices of a worker that has any"`
	AccelEvery int           `ini:"accelEvery" def:"10" min:"0" max:"1000" doc:"every so many workers has devices"`
	Hosts      int           `ini:"entryHosts" def:"6" min:"1" max:"40" doc:"number of entry hosts"`
	Service    string        `ini:"service" def:"service" doc:"name of the service"`
	Executors  int           `ini:"executors" def:"50" min:"1" max:"500" doc:"number of executors"`
	Slots      int           `ini:"slots" def:"8" min:"1" max:"100" doc:"slots of an executor"`
	Conns      int           `ini:"conns" def:"64" min:"1" max:"1000" doc:"connections of an executor"`
	CallWork   time.Duration `ini:"callWork" def:"20ms" min:"0s" max:"1m" doc:"time that a call takes"`
	Appends    int           `ini:"appendsPerSecond" def:"300" min:"1" max:"100000" doc:"the log's budget"`
}

// Team describes a team's share and CPU limit.
type Team struct {
	Name  string  `ini:"#id"`
	Share int64   `ini:"share" def:"1" min:"1" max:"1000000" doc:"weight when the fleet is full"`
	CPU   float64 `ini:"cpu" def:"1000000" min:"0.001" max:"100000000" doc:"upper limit in cores"`
}

// Work describes a stream of jobs with random arrival times.
type Work struct {
	Name       string        `ini:"#id"`
	Team       string        `ini:"team" required:"true" doc:"team that submits"`
	Kind       string        `ini:"kind" def:"batch" oneof:"urgent,service,gang,batch" doc:"class"`
	Every      time.Duration `ini:"every" required:"true" min:"1ms" max:"1h" doc:"mean time between two jobs"`
	StartAfter time.Duration `ini:"from" def:"0s" min:"0s" max:"1h" doc:"when the arrivals begin"`
	MaxJobs    int           `ini:"most" def:"100000" min:"1" max:"1000000" doc:"largest number of jobs"`
	Tasks      int           `ini:"tasks" def:"1" min:"1" max:"1000" doc:"tasks of a job"`
	CPU        float64       `ini:"cpu" def:"1" min:"0.001" max:"1000" doc:"cores of a task"`
	Mem        int64         `ini:"memoryMiB" def:"1024" min:"0" max:"16777216" doc:"memory of a task"`
	Accel      int64         `ini:"accelerators" def:"0" min:"0" max:"64" doc:"devices of a task"`
	RunFor     time.Duration `ini:"runFor" def:"0s" min:"0s" max:"1h" doc:"mean run time; 0 for a service"`
	Idempotent bool          `ini:"idempotent" def:"false" doc:"a task may run again if it may have run"`
}

// Calls describes a stream of calls to the service with random arrival times.
type Calls struct {
	Name       string        `ini:"#id"`
	Team       string        `ini:"team" required:"true" doc:"team that calls"`
	Every      time.Duration `ini:"every" required:"true" min:"100us" max:"1h" doc:"mean time between two calls"`
	Idempotent bool          `ini:"idempotent" def:"false" doc:"a call may run again if it may have run"`
	Timeout    time.Duration `ini:"timeout" def:"5s" min:"1ms" max:"10m" doc:"for one call"`
}

// Values of Fault.Kind.
const (
	LogOut      = "logOut"      // every request to the log fails without an answer
	LogBack     = "logBack"     // ends all faults of the log
	LogSlow     = "logSlow"     // the log delays every request by Count milliseconds
	LoseAnswers = "loseAnswers" // Count appends take effect but are not answered
	KillHost    = "killHost"
	StartHost   = "startHost"
	StopHost    = "stopHost" // graceful stop, then a restart
	CutHost     = "cutHost"  // partitioned from the log and its peers
	MendHost    = "mendHost"
	BadWorker   = "badWorker"  // every task fails right after its start
	LoseWorker  = "loseWorker" // the worker loses its tasks and answers no request
	MendWorker  = "mendWorker"
	AzOut       = "azOut"
	AzBack      = "azBack"
	WithdrawKey = "withdrawKey"
	CancelWork  = "cancelWave" // cancels the unfinished jobs of a Work section
	LeaveTarget = "leaveTarget"
	CrossAnswer = "crossAnswers" // the target's answers have the ID of the previous request
	CutAnswer   = "cutAnswers"   // the target's answers are truncated
	MendTarget  = "mendTarget"
)

// Fault is a fault, a repair or an operator's action at a given time of the run.
type Fault struct {
	Name    string        `ini:"#id"`
	At      time.Duration `ini:"at" required:"true" min:"0s" max:"1h" doc:"when it happens"`
	Kind    string        `ini:"kind" required:"true" oneof:"logOut,logBack,logSlow,loseAnswers,killHost,startHost,stopHost,cutHost,mendHost,badWorker,loseWorker,mendWorker,azOut,azBack,withdrawKey,cancelWave,leaveTarget,crossAnswers,cutAnswers,mendTarget" doc:"what happens"`
	Subject string        `ini:"of" doc:"host number, worker, target, availability zone, team or work that it happens to"`
	Count   int           `ini:"n" def:"1" min:"1" max:"1000000" doc:"how many answers, or milliseconds"`
}

var _ conf.Checker = Scenario{}

// Check validates the references between sections and the job of each Work.
func (s Scenario) Check() error {
	var errs []error
	addError := func(section, key, value, want string) {
		errs = append(errs, &conf.Error{Section: section, Key: key, Value: value, Want: want})
	}
	var teams []string
	for _, t := range s.Teams {
		teams = append(teams, t.Name)
	}
	wantTeam := "must name a team: " + strings.Join(teams, ", ")
	for _, w := range s.Work {
		if !slices.Contains(teams, w.Team) {
			addError("work "+w.Name, "team", w.Team, wantTeam)
		}
		if err := w.Spec(w.RunFor.Milliseconds()).WithDefaults().Check(); err != nil {
			e := fault.From(err)
			addError("work "+w.Name, e.Field, e.Value, e.Detail)
		}
	}
	for _, c := range s.Calls {
		if !slices.Contains(teams, c.Team) {
			addError("calls "+c.Name, "team", c.Team, wantTeam)
		}
	}
	for _, f := range s.Faults {
		if f.Kind == AzOut && !slices.Contains(s.Cell.Azs, f.Subject) {
			addError("fault "+f.Name, "of", f.Subject, "must name an availability zone: "+strings.Join(s.Cell.Azs, ", "))
		}
	}
	return errors.Join(errs...)
}

// Spec returns the spec of one job with the given run time in milliseconds.
func (w Work) Spec(runMs int64) jobs.Spec {
	return jobs.Spec{
		Name: w.Name, Kind: jobs.Kind(w.Kind), Tasks: w.Tasks,
		Size:  jobs.Size{CPU: int64(w.CPU * 1000), Mem: w.Mem, Accel: w.Accel},
		RunMs: runMs, Idempotent: w.Idempotent || w.Kind == string(jobs.Service),
	}
}

// Load reads a scenario from a file or, if the file does not exist, from the
// embedded scenarios by name.
func Load(path string) (s Scenario, err error) {
	defer fault.Annotate(&err, "scenario %q", path)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		data, err = files.ReadFile("files/" + strings.TrimSuffix(path, ".ini") + ".ini")
	}
	if err != nil {
		return s, fmt.Errorf("neither a file nor one of the shipped scenarios %s: %w", strings.Join(Shipped(), ", "), err)
	}
	return conf.Parse[Scenario](data)
}

// Shipped returns the names of the embedded scenarios.
func Shipped() []string {
	entries, err := files.ReadDir("files")
	if err != nil {
		panic(err) // the directory is embedded in the binary
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".ini"))
	}
	return names
}
