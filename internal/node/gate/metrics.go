package gate

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"lagooncourse/internal/base/guard"
	"lagooncourse/internal/cell/clash"
)

// metrics holds the metrics of an entry host.
type metrics struct {
	requests *prometheus.HistogramVec
}

// requestBuckets are the bucket limits in seconds. They cover the usual client
// deadline.
var requestBuckets = []float64{.002, .005, .01, .025, .05, .1, .25, .5, 1, 2, 3, 5}

func newMetrics(reg *prometheus.Registry, droppedLines func() int64) *metrics {
	m := &metrics{requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "lagooncourse_request_seconds", Help: "Time to answer a caller.", Buckets: requestBuckets,
	}, []string{"kind", "status"})}
	panics := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "lagooncourse_panics_total", Help: "Panics that were contained; each is a fault in this program.",
	}, func() float64 { return float64(guard.Count()) })
	reg.MustRegister(m.requests, panics, collectors.NewGoCollector())
	if droppedLines != nil {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lagooncourse_log_lines_dropped_total", Help: "Log lines that were dropped because the reader of the log was too slow.",
		}, func() float64 { return float64(droppedLines()) }))
	}
	return m
}

// kindNames are the label values, indexed by callKind.
var kindNames = [...]string{"submit", "status", "cancel", "pending"}

// observeRequest records the duration and the status of a client request.
func (m *metrics) observeRequest(k callKind, status int, d time.Duration) {
	m.requests.WithLabelValues(kindNames[k], strconv.Itoa(status)).Observe(d.Seconds())
}

// dump is the document of the /dump endpoint: the state of a host for operators.
type dump struct {
	Host          string       `json:"host"`
	Owner         string       `json:"owner"`
	Epoch         int64        `json:"epoch"`
	OwnerAgeMs    int64        `json:"ownerAgeMs"`
	IsOwner       bool         `json:"isOwner"`
	ConfigVersion int64        `json:"siteVersion"`
	ConfigAgeMs   int64        `json:"siteAgeMs"`
	Next          int64        `json:"next"` // offset of the replica; 0 while it is in use
	Peers         []peerDump   `json:"peers"`
	Clashes       []clash.Pair `json:"clashes,omitempty"` // images of which one slows the other down, at the owner
}

// peerDump is the state of a peer for operators.
type peerDump struct {
	Addr    string `json:"addr"`
	Az      string `json:"az"`
	AgeMs   int64  `json:"ageMs"`
	Leaving bool   `json:"leaving"`
	StoreOK bool   `json:"storeOk"`
}

// serveDump writes the state of this host as JSON.
func (h *Host) serveDump(w http.ResponseWriter, _ *http.Request) {
	now := h.clock.Now()
	d := dump{Host: h.cfg.Host}
	h.config.mu.Lock()
	d.ConfigVersion, d.ConfigAgeMs = h.config.config.Version, now.Sub(h.config.lastRead).Milliseconds()
	h.config.mu.Unlock()
	h.mu.Lock()
	d.Owner, d.Epoch, d.OwnerAgeMs, d.IsOwner = h.owner.addr, h.owner.epoch, now.Sub(h.owner.lastContact).Milliseconds(), h.localOwner != nil
	if !h.replica.inUse && h.localOwner == nil {
		d.Next = h.replica.state.NextOffset
	}
	for _, p := range h.peers {
		d.Peers = append(d.Peers, peerDump{p.addr, p.az, now.Sub(p.lastContact).Milliseconds(), p.leaving, p.storeOK})
	}
	o := h.localOwner
	h.mu.Unlock()
	if o != nil && o.Stalled() == 0 {
		d.Clashes = o.Interference().Pairs
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(d) // a write error means that the client has disconnected
}
