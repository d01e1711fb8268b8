package entry

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"lagooncourse/internal/base/conf"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/node/owner"
)

// Settings is the settings file of an entry host.
type Settings struct {
	Host struct {
		ID     string   `ini:"id" required:"true" doc:"name of this host, unique in the cell"`
		Az     string   `ini:"az" required:"true" doc:"availability zone of this host"`
		Listen string   `ini:"listen" required:"true" doc:"IP:port for callers and operators"`
		Peer   string   `ini:"peer" required:"true" doc:"IP:port for other entry hosts"`
		Peers  []string `ini:"peers" doc:"peer addresses of some other entry hosts, to find the rest"`
	} `ini:"host"`

	Platform struct {
		Log        string        `ini:"log" required:"true" doc:"base URL of the log service"`
		LogTimeout time.Duration `ini:"logTimeout" def:"2s" min:"100ms" max:"30s" doc:"for one request to the log"`
		HostLists  []string      `ini:"hostLists" required:"true" doc:"base URLs that serve parts of the host list"`
		HostsEvery time.Duration `ini:"hostsEvery" def:"1s" min:"50ms" max:"60s" doc:"between two reads of the host list"`
		GroupsInAz int           `ini:"groupsInAz" def:"2" min:"1" max:"64" doc:"groups into which the racks of an availability zone are divided; the same on all hosts"`
	} `ini:"platform"`

	Timing struct {
		Commit       time.Duration `ini:"commit" def:"25ms" min:"1ms" max:"2s" doc:"least time between two appends of a group"`
		Gossip       time.Duration `ini:"gossip" def:"250ms" min:"20ms" max:"5s" doc:"between two exchanges with peers"`
		SuspectAfter time.Duration `ini:"suspectAfter" def:"2s" min:"100ms" max:"60s" doc:"without a heartbeat a host counts as dead"`
		Renew        time.Duration `ini:"renew" def:"2s" min:"50ms" max:"60s" doc:"between two renewals of an unchanged worker"`
		Lease        time.Duration `ini:"lease" def:"8s" min:"200ms" max:"10m" doc:"a worker's lease; at least three renewals"`
		Margin       time.Duration `ini:"margin" def:"1s" min:"10ms" max:"60s" doc:"for the drift between two hosts' clocks"`
		FreshFor     time.Duration `ini:"freshFor" def:"3s" min:"100ms" max:"60s" doc:"a configuration that is older is not trusted while others have a newer one"`
		Keep         time.Duration `ini:"keep" def:"24h" min:"1m" max:"720h" doc:"how long ended jobs and calls are remembered"`
		Snapshot     time.Duration `ini:"snapshot" def:"10m" min:"1s" max:"24h" doc:"most time between two snapshots of a stream; a quarter of the log's retention or less"`
		NotReady     time.Duration `ini:"notReady" def:"1s" min:"0s" max:"60s" doc:"how long a stopping host goes on to answer after it has stopped being ready"`
		Stop         time.Duration `ini:"stop" def:"20s" min:"1s" max:"10m" doc:"bound for a graceful stop"`
	} `ini:"timing"`

	API struct {
		MaxBody         int64         `ini:"maxBodyBytes" def:"1048576" min:"1024" max:"4194304" doc:"largest body of a request, in bytes"`
		CallTimeout     time.Duration `ini:"callTimeout" def:"10s" min:"10ms" max:"10m" doc:"for a call that names no timeout"`
		OperatorKeyHash string        `ini:"operatorKeyHash" doc:"SHA-256 of the operators' key in hexadecimal; empty admits operators from the loopback address only"`
	} `ini:"api"`

	Limits struct {
		Memory      int64 `ini:"memoryMiB" def:"0" min:"0" max:"16777216" doc:"memory that the process may use; callers may use a quarter of it; 0 takes the memory of the machine"`
		Descriptors int   `ini:"descriptors" def:"0" min:"0" max:"16777216" doc:"file descriptors that the process may use; callers may use half of them; 0 takes the limit of the process"`
	} `ini:"limits"`

	Logs struct {
		Level string `ini:"level" def:"info" oneof:"debug,info,error" doc:"least severe line that is written"`
	} `ini:"logs"`
}

var _ conf.Checker = Settings{}

// minRenewalsInLease is the minimum ratio of the lease to the renewal interval. Two
// renewals in a row can fail before the lease ends.
const minRenewalsInLease = 3

// Check reports invalid combinations of settings, and invalid addresses and URLs. The
// tags limit the values of single settings.
func (s Settings) Check() error {
	var errs []error
	addError := func(section, key string, value any, format string, args ...any) {
		errs = append(errs, &conf.Error{Section: section, Key: key, Value: fmt.Sprint(value), Want: fmt.Sprintf(format, args...)})
	}
	if s.Timing.Lease < minRenewalsInLease*s.Timing.Renew {
		addError("timing", "lease", s.Timing.Lease, "must be at least %d times renew, which is %s", minRenewalsInLease, s.Timing.Renew)
	}
	if s.Timing.SuspectAfter < 3*s.Timing.Gossip {
		addError("timing", "suspectAfter", s.Timing.SuspectAfter, "must be at least 3 times gossip, which is %s", s.Timing.Gossip)
	}
	if s.Host.Listen == s.Host.Peer {
		addError("host", "peer", s.Host.Peer, "must differ from listen")
	}
	for key, addr := range map[string]string{"listen": s.Host.Listen, "peer": s.Host.Peer} {
		if !isAddr(addr) {
			addError("host", key, addr, "must have the form IP:port with a numeric IP")
		}
	}
	for _, addr := range s.Host.Peers {
		if !isAddr(addr) {
			addError("host", "peers", addr, "must have the form IP:port with a numeric IP")
		}
	}
	for _, u := range append([]string{s.Platform.Log}, s.Platform.HostLists...) {
		if p, err := url.Parse(u); err != nil || p.Scheme != "http" || p.Host == "" {
			addError("platform", "log, hostLists", u, "must be a URL such as http://10.0.0.9:7000")
		}
	}
	return errors.Join(errs...)
}

// isAddr reports whether s has the form IP:port with a numeric IP. It does not check
// that the port is a number.
func isAddr(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

// groupTiming returns the timing of groups: the defaults, overridden by the settings.
func (s Settings) groupTiming() owner.Timing {
	t := owner.DefaultTiming()
	t.CommitInterval, t.RenewWait, t.Lease, t.ClockMargin = s.Timing.Commit, s.Timing.Renew, s.Timing.Lease, s.Timing.Margin
	t.Retention, t.SnapshotInterval = s.Timing.Keep, s.Timing.Snapshot
	return t
}

// machine returns what the process may use. A limit that is neither set nor known bounds
// nothing.
func (s Settings) machine() httpd.Machine {
	m, _ := httpd.ThisMachine() // fails only for a kernel that lacks the calls
	if s.Limits.Memory > 0 {
		m.MemoryBytes = s.Limits.Memory << 20
	}
	if s.Limits.Descriptors > 0 {
		m.Descriptors = s.Limits.Descriptors
	}
	return m
}
