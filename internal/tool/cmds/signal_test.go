package cmds

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/polls"
)

// serveEnv makes the test binary run the daemon with the settings file that it names.
const serveEnv = "CMDS_TEST_SERVE"

func TestMain(m *testing.M) {
	if path := os.Getenv(serveEnv); path != "" {
		os.Exit(Main([]string{"serve", "--settings", path}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// freePort returns a free TCP port.
func freePort(t *testing.T) int {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// TestSignalsFromTheStart sends SIGHUP to a daemon that is still reading its settings,
// and to one that is stopping. Neither may end it.
func TestSignalsFromTheStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, syscall.Mkfifo(path, 0o600)) // opening it waits until the daemon reads it
	internal := freePort(t)
	settings := fmt.Sprintf(`nodeName = "h"
role = "frontend"
ip = "127.0.0.2"
zone = "a"
internalPorts = [%d,%d]
seeds = ["127.0.0.1:1"]
heartbeatMs = 1500
orders = "call"
advice = "127.0.0.1:1"
listen = { frontend = "127.0.0.1:%d", ready = "127.0.0.1:%d" }
limits = { cpuShare = 0.4, cores = 1, memoryMb = 284, linkMbps = 1000.0 }
bounds = { graceS = 6, drainMs = 2000, ackMs = 4000, holdMaxMs = 10000, remoteFactor = 1.5, status_s = 120 }
platform = { address = "127.0.0.1:1", form = "log" }
cloud = { address = "127.0.0.1:1" }
`, internal, internal+1, freePort(t), freePort(t))
	out, err := os.Create(filepath.Join(t.TempDir(), "out"))
	assert.NilError(t, err)
	defer out.Close()
	readOut := func() string {
		data, err := os.ReadFile(out.Name())
		assert.NilError(t, err)
		return string(data)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), serveEnv+"="+path)
	cmd.Stdout, cmd.Stderr = out, out
	assert.NilError(t, cmd.Start())
	ended := make(chan error, 1)
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	go func() { ended <- cmd.Wait() }()
	w, err := os.OpenFile(path, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond) // for the signal to be delivered before the settings are
	// The daemon has the pipe open. The SIGHUP makes it open the path again as soon as it has
	// the settings, which must not find the pipe: nobody would write to it.
	assert.NilError(t, os.Remove(path))
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	_, err = w.WriteString(settings)
	assert.Check(t, err)
	assert.NilError(t, w.Close())
	polls.Until(t, 10*time.Second, "the daemon has started", func() bool { return strings.Contains(readOut(), `"msg":"started"`) })
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
		assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	}
	assert.NilError(t, <-ended, "%s", readOut())
	assert.Assert(t, strings.Contains(readOut(), `"msg":"connections ended"`), "%s", readOut())
}
