package httpd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/budget"
)

// TestStalledRequestMakesWay guards against an idle connection of an ordinary caller that is
// closed in place of a request that has stalled.
func TestStalledRequestMakesWay(t *testing.T) {
	account := budget.New(budget.Config{Bytes: 3*connBytes + 10_000, MinAge: 10 * time.Millisecond})
	s, err := Listen(Config{Addr: "127.0.0.1:0", Logger: logr.Discard(), Limits: Limits{Account: account}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(r, 10_000); err != nil {
			WriteError(w, err)
		}
	})})
	assert.NilError(t, err)
	go func() { _ = s.Serve() }()
	defer s.Close()
	status := func(nc net.Conn, request string) int {
		_, err := fmt.Fprint(nc, request)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		assert.NilError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", s.Addr())
		assert.NilError(t, err)
		t.Cleanup(func() { nc.Close() })
		return nc
	}
	const small = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	idle, stalled, last := dial(), dial(), dial()
	assert.Equal(t, status(idle, small), http.StatusOK)
	_, err = fmt.Fprint(stalled, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\nx")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // longer than MinAge
	body := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1500\r\n\r\n%01500d", 0)
	assert.Equal(t, status(last, body), http.StatusOK)
	assert.Equal(t, account.Stats().Evicted, int64(1))
	assert.Equal(t, status(idle, small), http.StatusOK)
	resp, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
}
