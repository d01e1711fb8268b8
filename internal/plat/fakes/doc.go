// Package fakes holds small stand-ins for the platform: its log service, its
// workers and its executors. They speak the same HTTP as the real ones are met
// with, so that the adapters are exercised too.
//
// They are no simulator. Each keeps just enough state to answer truthfully,
// records what really happened for the judge, and has a few switches by which
// a test brings about a failure: an outage, a lost answer, a worker that fails
// all it starts, an executor that mixes up its answers. The switches can be
// thrown from Go with Set and over HTTP with POST /switch.
//
// # Usage
//
//	log, err := fakes.StartLog(fakes.LogConfig{Addr: "127.0.0.1:0", AppendsPerSecond: 300})
//	defer log.Close()
//	log.Set(fakes.LogSwitch{Outage: true})
package fakes

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"lagooncourse/internal/base/httpd"
)

const maxSwitchBytes = 64 << 10

// hangUp closes the connection without an answer, as a process that dies does.
func hangUp(w http.ResponseWriter) {
	hj, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if c, _, err := hj.Hijack(); err == nil {
		c.Close()
	}
}

// nowMs returns the wall clock in milliseconds since 1970.
func nowMs() int64 { return time.Now().UnixMilli() }

func post(path string, h http.HandlerFunc) rest.Route {
	return rest.Route{Method: http.MethodPost, Path: path, Handler: h}
}

func get(path string, h http.HandlerFunc) rest.Route {
	return rest.Route{Method: http.MethodGet, Path: path, Handler: h}
}

// switchRoute serves POST /switch for a stand-in whose switches are a T.
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
