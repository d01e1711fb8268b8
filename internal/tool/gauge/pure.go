package gauge

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/cell/alloc"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/queue"
	"lagooncourse/internal/node/wire"
	"lagooncourse/internal/plat/stream"
	"lagooncourse/internal/plat/worker"
)

// This file measures the parts that can run without a daemon.

// minTimed is the minimum run time of a timed loop.
const minTimed = 100 * time.Millisecond

// timePerCall returns the mean time of one call of fn in nanoseconds, over at
// least minTimed.
func timePerCall(fn func(i int)) float64 {
	n := 0
	start := time.Now()
	for time.Since(start) < minTimed {
		for range 16 {
			fn(n)
			n++
		}
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}

// retainedBytes returns the heap bytes that the result of build keeps alive.
func retainedBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func mustEncode(v any) []byte {
	data, err := frame.Encode(v)
	if err != nil {
		panic(err) // every value encoded here is a plain struct
	}
	return data
}

// points calls y for each size.
func points(sizes []int, y func(n int) float64) []Point {
	list := make([]Point, len(sizes))
	for i, n := range sizes {
		list[i] = Point{X: float64(n), Y: y(n)}
	}
	return list
}

func spec(i int) jobs.Spec {
	return jobs.Spec{
		Name: fmt.Sprintf("family%d", i%50), Kind: jobs.Batch, Team: fmt.Sprintf("team%d", i%94), Queue: "default",
		Submission: fmt.Sprintf("submission-%d", i), Tasks: 1, Size: jobs.Size{CPU: 2000, Mem: 4096}, RunMs: 60_000,
	}
}

// groupWithJobs returns a group with n waiting jobs.
func groupWithJobs(n int) *group.State {
	s := group.NewState("az1-0")
	s.ApplyBatch(group.Batch{Epoch: 1, Claim: &group.Owner{Host: "e1"}})
	for i := range n {
		s.ApplyBatch(group.Batch{Epoch: 1, Seq: uint64(i + 1), Records: []group.Record{{Submit: &group.Submit{Spec: spec(i), AtMs: 1}}}})
	}
	return s
}

// startAndEnd returns the records of one task: its start intent and its end.
func startAndEnd(i int) []group.Record {
	ref := jobs.Ref{Job: jobs.NewID("az1-0", int64(i+1))}
	return []group.Record{
		{Start: &group.Start{Ref: ref, Attempt: 1, Placement: jobs.Placement{Group: "az1-0", Worker: "w0123", Boot: 1796363709761}, AtMs: 1796363709761}},
		{End: &jobs.End{Ref: ref, Attempt: 1, Reason: jobs.EndOK, Result: "done", AtMs: 1796363709761}},
	}
}

// recordBytes measures the log bytes of a batch with n starts and ends.
func recordBytes() Slope {
	return Fit("log bytes of a batch", "starts in the batch", "bytes", points([]int{1, 10, 100, 1000}, func(n int) float64 {
		b := group.Batch{Epoch: 12, Seq: 100_000}
		for i := range n {
			b.Records = append(b.Records, startAndEnd(i)...)
		}
		data, err := stream.EncodeRecord(mustEncode(b))
		if err != nil {
			panic(err) // the batch is a plain struct
		}
		return float64(len(data))
	}))
}

func jobMemory() Slope {
	return Fit("memory of jobs", "jobs of a group", "bytes", points([]int{1000, 5000, 20_000}, func(n int) float64 {
		return retainedBytes(func() any { return groupWithJobs(n) })
	}))
}

func snapshotBytes() Slope {
	return Fit("snapshot of a group", "jobs of a group", "bytes", points([]int{1000, 5000, 20_000}, func(n int) float64 {
		data, err := groupWithJobs(n).Snapshot()
		if err != nil {
			panic(err) // the snapshot is a plain struct
		}
		return float64(len(data))
	}))
}

// applyTime measures decoding and applying a batch of n starts and ends.
func applyTime() Slope {
	return Fit("apply a batch", "starts in the batch", "ns", points([]int{1, 10, 100}, func(n int) float64 {
		s := groupWithJobs(n)
		b := group.Batch{Epoch: 1}
		for i := range n {
			b.Records = append(b.Records, startAndEnd(i)...)
		}
		return timePerCall(func(int) {
			b.Seq = s.Seq + 1
			s.Apply(0, mustEncode(b))
		})
	}))
}

// chooseTime measures choosing the next item when tasks of a given number of
// distinct shapes (here combinations of team and size) wait.
func chooseTime() Slope {
	return Fit("choose the next item", "shapes that wait", "ns", points([]int{10, 100, 500}, func(shapes int) float64 {
		q := queue.New(queue.Config{})
		for i := range shapes * 20 {
			q.Add(queue.Item{
				Ref: jobs.Ref{Job: jobs.NewID("g", int64(i+1))}, Team: fmt.Sprint("t", i%shapes%teams), Kind: jobs.Batch,
				Size: jobs.Size{CPU: int64(1 + i%shapes/teams)}, Count: 1, WaitingSinceMs: int64(i),
			})
		}
		p := q.Pass(queue.FleetView{Fleet: jobs.Size{CPU: 1000}, Used: map[string]jobs.Size{}, Weights: map[string]int64{}})
		return timePerCall(func(int) { p.Next() })
	}))
}

// reserveTime measures one reservation and its cancellation in a group of n
// workers.
func reserveTime() Slope {
	return Fit("reserve room", "workers of a group", "ns", points([]int{20, 80, 320}, func(n int) float64 {
		al := alloc.New()
		var list []alloc.Worker
		for i := range n {
			list = append(list, alloc.Worker{ID: fmt.Sprintf("w%04d", i), Capacity: jobs.Size{CPU: 64_000, Mem: 131_072}})
		}
		al.SetWorkers(list)
		for _, w := range list {
			al.ApplyInventory(w.ID, alloc.Inventory{})
		}
		return timePerCall(func(i int) {
			at := alloc.Attempt{Task: fmt.Sprint(i), Number: 1}
			al.Reserve(alloc.ReserveRequest{Attempt: at, Kind: jobs.Batch, Size: jobs.Size{CPU: 2000, Mem: 4096}}, 0)
			al.Cancel(at)
		})
	}))
}

// renewalBytes measures one lease renewal of a worker, request and response.
func renewalBytes() Slope {
	return Fit("renewal of a worker", "tasks on the worker", "bytes", points([]int{0, 6, 20}, func(n int) float64 {
		req, err := json.Marshal(worker.RenewRequest{Token: worker.Token{Epoch: 12, Seq: 100_000}, TTLMs: 8000, Since: 1000, WaitMs: 2000})
		if err != nil {
			panic(err) // plain structs
		}
		data, err := json.Marshal(inventory(n))
		if err != nil {
			panic(err) // plain structs
		}
		return float64(len(req) + len(data))
	}))
}

func inventory(n int) worker.Inventory {
	inv := worker.Inventory{Boot: 1796363709761, Version: 1000}
	for i := range n {
		inv.Running = append(inv.Running, worker.Running{
			Attempt: worker.Attempt{Task: fmt.Sprintf("az1-0.%d/0", 10_000+i), Number: 1}, Home: "az1-0", Family: "family12",
			Class: "batch", CPU: 2000, Mem: 4096, UsedCPU: 1800, UsedMem: 3000,
		})
	}
	return inv
}

// unchangedRenewalBytes returns the size of a lease renewal of a worker whose
// inventory has not changed, request and response.
func unchangedRenewalBytes() float64 {
	req, err := json.Marshal(worker.RenewRequest{Token: worker.Token{Epoch: 12, Seq: 100_000}, TTLMs: 8000, Since: 1000, WaitMs: 2000})
	if err != nil {
		panic(err) // plain structs
	}
	data, err := json.Marshal(worker.Inventory{Unchanged: true, Boot: 1796363709761, Version: 1000})
	if err != nil {
		panic(err) // plain structs
	}
	return float64(len(req) + len(data))
}

// renewalTime measures decoding an inventory and applying it to the reservations.
func renewalTime() Slope {
	return Fit("take an inventory", "tasks on the worker", "ns", points([]int{0, 6, 20}, func(n int) float64 {
		data, err := json.Marshal(inventory(n))
		if err != nil {
			panic(err) // plain structs
		}
		al := alloc.New()
		al.SetWorkers([]alloc.Worker{{ID: "w", Capacity: jobs.Size{CPU: 64_000, Mem: 131_072}}})
		return timePerCall(func(int) {
			var inv worker.Inventory
			if err := json.Unmarshal(data, &inv); err != nil {
				panic(err) // encoded above
			}
			in := alloc.Inventory{Boot: inv.Boot}
			for _, r := range inv.Running {
				in.Attempts = append(in.Attempts, alloc.ReportedAttempt{
					Attempt: alloc.Attempt{Task: r.Attempt.Task, Number: r.Attempt.Number}, Home: r.Home,
					Kind: jobs.Kind(r.Class), Size: jobs.Size{CPU: r.CPU, Mem: r.Mem},
				})
			}
			al.ApplyInventory("w", in)
		})
	}))
}

// descriptionBytes measures the membership description of an entry host that owns
// one group.
func descriptionBytes() Slope {
	return Fit("description of an entry host", "teams with work in its group", "bytes", points([]int{6, 30, 94}, func(n int) float64 {
		d := wire.GroupInfo{Group: "az1-0", Epoch: 12, Az: "az1", Used: map[string]jobs.Size{}, Queued: map[string]jobs.Size{}}
		for i := range n {
			d.Used[fmt.Sprint("team", i)] = jobs.Size{CPU: 60_000, Mem: 120_000}
			d.Queued[fmt.Sprint("team", i)] = jobs.Size{CPU: 60_000, Mem: 120_000}
		}
		return float64(len(mustEncode(wire.Member{
			ID: "e01", Addr: "10.0.0.1:7400", API: "http://10.0.0.1:7300", Az: "az1", Boot: 1796363709761, Version: 1000,
			Groups: []wire.GroupInfo{d}, Pools: []wire.PoolLoad{{Group: "az1-0", Az: "az1", Service: "triage", Slots: 64, Busy: 20}},
		})))
	}))
}

// keyEdit returns the configuration record that creates the ith key.
func keyEdit(i int) config.Record {
	return config.Record{Edit: &config.Edit{
		ID: fmt.Sprintf("edit-%d", i), Operation: config.IssueKey, Name: fmt.Sprintf("key%d", i), By: "operator",
		Team: fmt.Sprintf("team%d", i%94), SecretHash: config.HashSecret("s"),
	}}
}

func configWithEdits(n int) *config.StateMachine {
	m := config.NewStateMachine()
	for i := range n {
		m.Apply(int64(i), mustEncode(keyEdit(i)))
	}
	return m
}

func configMemory() Slope {
	return Fit("memory of the configuration", "edits in it", "bytes", points([]int{200, 1000, 4000}, func(n int) float64 {
		return retainedBytes(func() any { return configWithEdits(n) })
	}))
}

func configTime() Slope {
	return Fit("apply an edit", "edits before it", "ns", points([]int{200, 1000, 4000}, func(n int) float64 {
		m := configWithEdits(n)
		data := make([][]byte, 256)
		for i := range data {
			data[i] = mustEncode(keyEdit(n + i))
		}
		start := time.Now()
		for i, d := range data {
			m.Apply(int64(n+i), d)
		}
		return float64(time.Since(start).Nanoseconds()) / float64(len(data))
	}))
}
