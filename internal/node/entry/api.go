package entry

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/rest"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/node/owner"
	"lagooncourse/internal/node/peers"
	"lagooncourse/internal/node/route"
	"lagooncourse/internal/node/wire"
)

// Header names of the API.
const (
	HeaderCallID     = "Call-Id"         // request and response
	HeaderIdempotent = "Call-Idempotent" // request: true or false
	HeaderTimeout    = "Call-Timeout-Ms" // request: in milliseconds
	HeaderOutcome    = "Call-Ran"        // response: outcome of the call, a fault.Outcome
)

// Limits of the values in requests and of responses.
const (
	maxStatusWait  = time.Minute      // wait for the end of a job
	maxListJobs    = 1000             // jobs listed per group
	maxCallTimeout = 10 * time.Minute // maximum of Call-Timeout-Ms and of the setting callTimeout
)

// routes returns the routes of the HTTP API, which docs/API.md documents.
func (h *Host) routes() []rest.Route {
	route := func(method, path string, fn http.HandlerFunc) rest.Route {
		return rest.Route{Method: method, Path: path, Handler: h.metrics.countRequests(path, fn)}
	}
	metrics := promhttp.HandlerFor(h.metrics.registry, promhttp.HandlerOpts{})
	return []rest.Route{
		route(http.MethodPost, "/jobs", jsonHandler(h.postJob)),
		route(http.MethodGet, "/jobs", jsonHandler(h.getJobs)),
		route(http.MethodGet, "/jobs/:id", jsonHandler(h.getJob)),
		route(http.MethodPost, "/jobs/:id/cancel", jsonHandler(h.postCancel)),
		route(http.MethodPost, "/call/:service", h.postCall),
		route(http.MethodGet, "/config", jsonHandler(h.getConfig)),
		route(http.MethodPost, "/edits", jsonHandler(h.postEdit)),
		route(http.MethodPost, "/settle", jsonHandler(h.postSettle)),
		route(http.MethodGet, "/dump", jsonHandler(h.getDump)),
		route(http.MethodGet, "/healthz", h.getHealth),
		route(http.MethodGet, "/readyz", h.getReady),
		route(http.MethodGet, "/metrics", metrics.ServeHTTP),
	}
}

// jsonHandler returns a handler that writes the result of fn as JSON, or its error
// as a problem document.
func jsonHandler[T any](fn func(*http.Request) (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := fn(r)
		if err != nil {
			httpd.WriteError(w, err)
			return
		}
		httpd.WriteJSON(w, v)
	}
}

// requestKey returns the key in the request's Authorization header, with or without
// the prefix "Bearer ", or "" if there is none.
func requestKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return strings.TrimSpace(key)
}

// requestTeam returns the team of the request's key, or config.OpenTeam if the
// request has no key. It returns an error if the configuration is not fresh or the key
// is not valid.
func (h *Host) requestTeam(r *http.Request) (string, error) {
	if err := h.follower.CheckFresh(); err != nil {
		return "", err
	}
	key := requestKey(r)
	if key == "" {
		return config.OpenTeam, nil
	}
	return h.follower.State().TeamOfKey(key)
}

// checkAllowed returns an error unless the team may use the named queue, service or
// availability zone; kind is "queue", "service" or "az". The error for config.OpenTeam
// has the code Unauthenticated.
func (h *Host) checkAllowed(team, kind, name string) error {
	err := h.follower.State().CheckAllowed(team, kind, name)
	if err != nil && team == config.OpenTeam {
		return fault.New(fault.Unauthenticated, fault.NotRun, "%s %q requires a key", kind, name)
	}
	return err
}

// checkOperator returns an error unless the request comes from an operator: it
// has the operators' key or, if none is set, comes from the loopback address.
func (h *Host) checkOperator(r *http.Request) error {
	if hash := h.settings.API.OperatorKeyHash; hash != "" {
		if config.HashSecret(requestKey(r)) == hash {
			return nil
		}
		return fault.New(fault.Unauthenticated, fault.NotRun, "the request requires the operators' key")
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	if ip := net.ParseIP(host); ip != nil && ip.IsLoopback() {
		return nil
	}
	return fault.New(fault.Denied, fault.NotRun, "operator requests are accepted from the loopback address only")
}

// getHealth reports that the process is running.
func (h *Host) getHealth(w http.ResponseWriter, _ *http.Request) {
	httpd.WriteJSON(w, struct {
		Status string `json:"status"`
	}{"ok"})
}

// getReady reports to the load balancer whether this host accepts requests.
func (h *Host) getReady(w http.ResponseWriter, _ *http.Request) {
	if err := h.Ready(); err != nil {
		httpd.WriteError(w, err)
		return
	}
	h.getHealth(w, nil)
}

// Ready returns an error unless the host can serve requests.
func (h *Host) Ready() error {
	h.mu.Lock()
	leaving, hasHostList := h.leaving, len(h.hostList.Workers)+len(h.hostList.Targets) > 0
	h.mu.Unlock()
	switch {
	case leaving:
		return fault.New(fault.Unavailable, fault.NotRun, "host %q is stopping", h.settings.Host.ID)
	case !hasHostList:
		return fault.New(fault.Unavailable, fault.NotRun, "host %q has not read the host list yet", h.settings.Host.ID)
	}
	return h.follower.CheckFresh()
}

// Dump is a snapshot of an entry host's state for operators.
type Dump struct {
	Host        string            `json:"host"`
	Az          string            `json:"az"`
	UptimeMs    int64             `json:"uptimeMs"`
	Leaving     bool              `json:"leaving"`
	Ready       string            `json:"ready"`     // "yes", or the error of Ready
	ConfigNext  int64             `json:"cellNext"`  // next offset of the configuration stream
	ConfigAgeMs int64             `json:"cellAgeMs"` // time since the configuration was last known to be complete
	Live        []peers.Peer      `json:"live"`      // live entry hosts, including this one
	Groups      []owner.Dump      `json:"groups"`
	Pools       []wire.PoolLoad   `json:"pools"`
	Router      route.RouterStats `json:"router"`
	Traffic     PeerTraffic       `json:"trafficBytes"`
}

// Dump returns the state that GET /dump shows to operators.
func (h *Host) Dump() Dump {
	age, next := h.follower.Age()
	now := h.clock.Now()
	d := Dump{
		Host: h.settings.Host.ID, Az: h.settings.Host.Az, UptimeMs: now.Sub(h.started).Milliseconds(), Ready: "yes",
		ConfigNext: next, ConfigAgeMs: age.Milliseconds(), Live: h.table.Live(now), Pools: h.servedPools(),
		Router: h.router.Stats(), Groups: []owner.Dump{}, Traffic: h.traffic(),
	}
	if err := h.Ready(); err != nil {
		d.Ready = err.Error()
	}
	h.mu.Lock()
	d.Leaving = h.leaving
	h.mu.Unlock()
	for _, lg := range h.allGroups() {
		d.Groups = append(d.Groups, lg.g.Dump())
	}
	return d
}

// PeerTraffic is the number of bytes exchanged with other entry hosts.
type PeerTraffic struct {
	Control frame.Bytes `json:"control"` // membership and configuration
	Work    frame.Bytes `json:"work"`    // all other methods: requests about jobs and calls
}

// traffic sums the bytes that this host has exchanged as a server and as a client of
// the peer protocol.
func (h *Host) traffic() (t PeerTraffic) {
	for _, side := range []*frame.Traffic{h.peerServer.Traffic(), h.peerConns.Traffic()} {
		for method, b := range side.ByMethod() {
			if method == wire.Gossip.ID || method == wire.ReadConfig.ID {
				t.Control = t.Control.Plus(b)
			} else {
				t.Work = t.Work.Plus(b)
			}
		}
	}
	return t
}

// getDump returns the host's state to an operator.
func (h *Host) getDump(r *http.Request) (Dump, error) {
	if err := h.checkOperator(r); err != nil {
		return Dump{}, err
	}
	return h.Dump(), nil
}
