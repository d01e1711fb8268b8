package fakes

import (
	"fmt"

	"lagooncourse/internal/plat/hosts"
)

// GridConfig describes a fleet of racks with identical workers. The racks are
// assigned to the availability zones round-robin.
type GridConfig struct {
	Azs        []string
	Workers    int
	RackSize   int
	CPU        int64 // millicores of each worker
	Mem        int64 // MiB of each worker
	Accel      int64 // devices of each worker with accelerators
	AccelEvery int   // every AccelEvery-th worker has accelerators; 0 means none
}

// Workers returns the workers of the fleet.
func Workers(cfg GridConfig) []hosts.Worker {
	list := make([]hosts.Worker, 0, cfg.Workers)
	for i := range cfg.Workers {
		rack := i / cfg.RackSize
		w := hosts.Worker{
			ID: fmt.Sprintf("w%03d", i), Az: cfg.Azs[rack%len(cfg.Azs)], Rack: fmt.Sprintf("r%02d", rack),
			CPU: cfg.CPU, Mem: cfg.Mem,
		}
		if cfg.AccelEvery > 0 && i%cfg.AccelEvery == 0 {
			w.Accel = cfg.Accel
		}
		list = append(list, w)
	}
	return list
}

// TargetsConfig describes the executors of a service, eight per rack. The racks
// are assigned to the availability zones round-robin.
type TargetsConfig struct {
	Service string
	Azs     []string
	Count   int
	Slots   int
	Conns   int
}

const targetsPerRack = 8

// Targets returns the executors of the service.
func Targets(cfg TargetsConfig) []hosts.Target {
	list := make([]hosts.Target, 0, cfg.Count)
	for i := range cfg.Count {
		rack := i / targetsPerRack
		list = append(list, hosts.Target{
			ID: fmt.Sprintf("%s-%03d", cfg.Service, i), Service: cfg.Service, Az: cfg.Azs[rack%len(cfg.Azs)],
			Rack: fmt.Sprintf("r%02d", rack), Slots: cfg.Slots, Conns: cfg.Conns,
		})
	}
	return list
}
