package demo

import (
	"context"

	"github.com/go-logr/logr"

	"lagooncourse/internal/tool/scene"
)

// IdleCell is a running cell without load, for measuring control overhead.
type IdleCell struct {
	c      *cell
	cancel context.CancelFunc
}

// StartIdle starts a cell and waits until every entry host is ready and every
// group has an owner.
func StartIdle(ctx context.Context, cell scene.Cell, logger logr.Logger) (*IdleCell, error) {
	c, err := startCell(Config{Scenario: scene.Scenario{Cell: cell}, Logger: logger})
	if err != nil {
		return nil, err
	}
	bctx, cancel := context.WithCancel(ctx)
	go c.probeHosts(bctx)
	i := &IdleCell{c: c, cancel: cancel}
	if err := c.awaitReady(ctx); err != nil {
		i.Close()
		return nil, err
	}
	return i, nil
}

// ControlBytes returns the control traffic that all entry hosts have sent, in
// bytes.
func (i *IdleCell) ControlBytes() int64 {
	var sum peerBytes
	for _, s := range i.c.slots {
		sum = sum.plus(s.peerBytes())
	}
	return sum.control
}

// Close stops the cell.
func (i *IdleCell) Close() {
	i.cancel()
	i.c.close()
}
