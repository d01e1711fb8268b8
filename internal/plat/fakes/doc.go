// Package fakes has in-process fakes of the platform's services.
//
// Log, Fleet and Execs are HTTP servers that implement the protocols of the log
// service, the workers and the executors, so that tests cover the adapters too.
// Store and SimFleet are called directly, without HTTP.
//
// The fakes record what was run, for the checks of tests and of package judge, and
// can inject faults: an outage, a lost answer, a worker that fails all its tasks,
// or an executor that sends the answer to another request. Set, or POST /switch,
// sets the faults of an HTTP server; SetFaults sets those of Store and SimFleet.
//
// # Usage
//
//	log, err := fakes.StartLog(fakes.LogConfig{Addr: "127.0.0.1:0", AppendsPerSecond: 300})
//	defer log.Close()
//	log.Set(fakes.LogFaults{Outage: true})
package fakes

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"lagooncourse/internal/base/httpd"
)

// maxSwitchBytes is the maximum body size of POST /switch and of stop and throttle
// requests.
const maxSwitchBytes = 64 << 10

// dropConn closes the connection without an answer, as a crash of the process would.
func dropConn(w http.ResponseWriter) {
	hj, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if c, _, err := hj.Hijack(); err == nil {
		c.Close()
	}
}

// nowMs returns the wall clock time in milliseconds since 1970.
func nowMs() int64 { return time.Now().UnixMilli() }

func post(path string, h http.HandlerFunc) rest.Route {
	return rest.Route{Method: http.MethodPost, Path: path, Handler: h}
}

func get(path string, h http.HandlerFunc) rest.Route {
	return rest.Route{Method: http.MethodGet, Path: path, Handler: h}
}

// switchRoute returns the route POST /switch, which decodes faults of type T and
// passes them to set.
func switchRoute[T any](set func(T)) rest.Route {
	return post("/switch", func(w http.ResponseWriter, r *http.Request) {
		s, err := httpd.ReadJSON[T](r, maxSwitchBytes)
		if err != nil {
			httpd.WriteError(w, err)
			return
		}
		set(s)
		httpd.WriteJSON(w, s)
	})
}
