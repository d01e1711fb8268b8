// Package logs writes the structured log of a process.
//
// New writes lines of text, NewJSON JSON objects. A line of text has a time, a
// level, the name of the component, a message and key=value pairs:
//
//	12:03:07.114 INFO  owner: claimed group group=az1-0 epoch=4
//
// # Usage
//
//	log := logs.New(os.Stderr, "info")
//	log.WithName("owner").Info("claimed group", "group", g)
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"sync"

	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/core/logx"
)

// Levels lists the valid level names, most verbose first.
var Levels = []string{"debug", "info", "error"}

// New returns a logger that writes lines at or above the level to w. The level
// is one of Levels; any other name means "info". New disables go-zero's own log,
// whose lines do not name a component.
func New(w io.Writer, level string) logr.Logger {
	logx.Disable()
	return logr.FromSlogHandler(&handler{w: w, mu: &sync.Mutex{}, minLevel: parseLevel(level)})
}

// parseLevel returns the level with the given name, and info for other names.
func parseLevel(name string) slog.Level {
	switch name {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

// Discard returns a logger that drops every line.
func Discard() logr.Logger { return logr.Discard() }

// handler is a slog.Handler that writes one line of text per record. It formats
// the attributes of WithAttrs when they are set, not for each record. The
// attribute "logger" is the name of the component.
type handler struct {
	w              io.Writer
	mu             *sync.Mutex
	minLevel       slog.Level
	formattedAttrs string
	name           string
}

var _ slog.Handler = (*handler)(nil)

func (h *handler) Enabled(_ context.Context, l slog.Level) bool { return l >= h.minLevel }

func (h *handler) Handle(_ context.Context, r slog.Record) error {
	var b strings.Builder
	b.WriteString(r.Time.Format("15:04:05.000 "))
	fmt.Fprintf(&b, "%-5s ", r.Level)
	name := h.name
	var rest strings.Builder
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "logger" {
			name = a.Value.String()
			return true
		}
		writeAttr(&rest, a)
		return true
	})
	if name != "" {
		b.WriteString(name + ": ")
	}
	b.WriteString(r.Message)
	b.WriteString(h.formattedAttrs)
	b.WriteString(rest.String())
	b.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.w, b.String())
	return err
}

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	c := *h
	var b strings.Builder
	for _, a := range attrs {
		if a.Key == "logger" {
			c.name = a.Value.String()
			continue
		}
		writeAttr(&b, a)
	}
	c.formattedAttrs += b.String()
	return &c
}

// WithGroup ignores the group: the keys get no prefix.
func (h *handler) WithGroup(string) slog.Handler { return h }

func writeAttr(b *strings.Builder, a slog.Attr) {
	v := a.Value.String()
	if strings.ContainsAny(v, " =\"") {
		v = strconv.Quote(v)
	}
	fmt.Fprintf(b, " %s=%s", a.Key, v)
}
