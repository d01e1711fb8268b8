package demo

import (
	"context"

	"github.com/go-logr/logr"

	"lagooncourse/internal/tool/scene"
)

// Idle is a running cell without work, for measuring what control costs.
type Idle struct {
	c      *cell
	cancel context.CancelFunc
}

// StartIdle starts a cell and waits until every group has an owner.
func StartIdle(ctx context.Context, cell scene.Cell, logger logr.Logger) (*Idle, error) {
	c, err := startCell(Config{Scene: scene.Scene{Cell: cell}, Logger: logger})
	if err != nil {
		return nil, err
	}
	bctx, cancel := context.WithCancel(ctx)
	go c.balance(bctx)
	i := &Idle{c: c, cancel: cancel}
	if err := c.awaitReady(ctx); err != nil {
		i.Close()
		return nil, err
	}
	return i, nil
}

// ControlBytes returns the bytes that all entry hosts have sent for control.
func (i *Idle) ControlBytes() int64 {
	var sum sent
	for _, s := range i.c.slots {
		sum = sum.plus(s.sent())
	}
	return sum.control
}

// Close ends the cell.
func (i *Idle) Close() {
	i.cancel()
	i.c.close()
}
