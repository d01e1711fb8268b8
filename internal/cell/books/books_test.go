package books

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lagooncourse/internal/cell/jobs"
)

// The test below plays a home, two successive keepers of one worker, the
// worker, and a network that delays and drops requests. It checks the two
// promises on what the worker really runs.

// startMsg is a start request on its way.
type startMsg struct {
	at    Attempt
	epoch uint64
	seq   uint64
	boot  int64
	size  int64
}

// site is a worker that runs tasks, with the checks that the platform promises.
type site struct {
	id      string
	cap     int64
	boot    int64
	epoch   uint64
	floor   uint64
	lease   bool
	running map[Attempt]int64
	done    map[Attempt]jobs.How
}

func (s *site) used() int64 {
	var sum int64
	for _, size := range s.running {
		sum += size
	}
	return sum
}

// raise takes an epoch, or refuses it.
func (s *site) raise(epoch uint64) bool {
	if epoch < s.epoch {
		return false
	}
	if epoch > s.epoch {
		s.epoch, s.floor = epoch, 0
	}
	return true
}

func (s *site) start(m startMsg) bool {
	if !s.raise(m.epoch) || m.seq < s.floor || !s.lease || m.boot != s.boot {
		return false
	}
	if _, ended := s.done[m.at]; ended {
		return true
	}
	s.running[m.at] = m.size
	return true
}

func (s *site) renew(epoch uint64, r Renewal) (Inventory, bool) {
	if !s.raise(epoch) {
		return Inventory{}, false
	}
	s.floor, s.lease = max(s.floor, r.Floor), true
	for _, at := range r.Forget {
		delete(s.done, at)
	}
	inv := Inventory{Renewal: r, Boot: s.boot}
	for at, size := range s.running {
		inv.Seen = append(inv.Seen, Seen{Attempt: at, Home: "h", Kind: jobs.Batch, Size: jobs.Size{CPU: size}})
	}
	for at, how := range s.done {
		inv.Seen = append(inv.Seen, Seen{Attempt: at, Home: "h", How: how})
	}
	return inv, true
}

// keeper is one epoch's owner of all sites.
type keeper struct {
	epoch uint64
	books *Books
}

// world is everything in the test.
type world struct {
	t       *rapid.T
	sites   map[string]*site
	keepers []*keeper // the newest last; older ones may wake up
	net     []startMsg
	dest    []string // site of each message
	tasks   []jobs.Task
	sizes   []int64
	ran     map[string]int // task -> finished runs
	nowMs   int64
}

var testSpec = jobs.Spec{Kind: jobs.Batch, Tasks: 1}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, sites: map[string]*site{}, ran: map[string]int{}}
	for _, id := range []string{"w0", "w1"} {
		w.sites[id] = &site{id: id, cap: 4, boot: 1, running: map[Attempt]int64{}, done: map[Attempt]jobs.How{}}
	}
	for range 4 {
		w.tasks = append(w.tasks, jobs.Task{State: jobs.Waiting})
		w.sizes = append(w.sizes, rapid.Int64Range(1, 4).Draw(t, "size"))
	}
	w.takeover()
	return w
}

func (w *world) newest() *keeper { return w.keepers[len(w.keepers)-1] }

// takeover gives the sites to a new keeper, which knows nothing.
func (w *world) takeover() {
	k := &keeper{epoch: uint64(len(w.keepers) + 1), books: New()}
	var list []Worker
	for id, s := range w.sites {
		list = append(list, Worker{ID: id, Cap: jobs.Size{CPU: s.cap}})
	}
	k.books.SetWorkers(list)
	w.keepers = append(w.keepers, k)
}

func (w *world) attempt(i, n int) Attempt {
	return Attempt{Task: fmt.Sprintf("j.1/%d", i), Number: n}
}

// place reserves, records the intent and sends the start, as a home with the
// newest keeper does.
func (w *world) place(i int) {
	k := w.newest()
	if w.tasks[i].State != jobs.Waiting {
		return
	}
	at := w.attempt(i, w.tasks[i].Attempt+1)
	slot, ok := k.books.Reserve(Ask{Attempt: at, Home: "h", Kind: jobs.Batch, Size: jobs.Size{CPU: w.sizes[i]}, UntilMs: w.nowMs + 10}, w.nowMs)
	if !ok {
		return
	}
	w.tasks[i] = w.tasks[i].WithStart(jobs.Site{Group: "g", Worker: slot.Worker, Boot: slot.Boot}, w.nowMs)
}

// send has a keeper send the start of a recorded intent. The keeper may be an
// old one that has just woken up.
func (w *world) send(k *keeper, i int) {
	if w.tasks[i].State != jobs.Placed {
		return
	}
	at := w.attempt(i, w.tasks[i].Attempt)
	o, ok := k.books.Begin(at)
	if !ok {
		return
	}
	w.net = append(w.net, startMsg{at: at, epoch: k.epoch, seq: o.Seq, boot: o.Boot, size: w.sizes[i]})
	w.dest = append(w.dest, o.Worker)
}

// deliver brings a message to its site, with or without an answer, and once or
// twice.
func (w *world) deliver(n int, answered, again bool) {
	m, id := w.net[n], w.dest[n]
	if !again {
		w.net = append(w.net[:n:n], w.net[n+1:]...)
		w.dest = append(w.dest[:n:n], w.dest[n+1:]...)
	}
	ok := w.sites[id].start(m)
	k := w.keepers[m.epoch-1]
	switch {
	case !answered:
		k.books.Unsure(m.at)
	case ok:
		k.books.Started(m.at)
	default:
		k.books.Refused(m.at)
	}
}

// renew has a keeper renew a site and take its inventory.
func (w *world) renew(k *keeper, s *site) {
	if inv, ok := s.renew(k.epoch, k.books.Renewal(s.id)); ok {
		for _, r := range k.books.Inventory(s.id, inv) {
			w.end(r)
		}
	}
}

// end records a report at home and forgets it at the site.
func (w *world) end(r Report) {
	for i := range w.tasks {
		if r.Attempt.Task != w.attempt(i, 0).Task {
			continue
		}
		w.tasks[i] = w.tasks[i].WithEnd(testSpec, jobs.End{Attempt: r.Attempt.Number, How: r.How})
	}
	w.newest().books.Forget(r.Attempt)
}

// ask has the home ask the newest keeper about a task in doubt.
func (w *world) ask(i int) {
	t := w.tasks[i]
	if t.State != jobs.Placed {
		return
	}
	at := w.attempt(i, t.Attempt)
	place, r := w.newest().books.Where(Query{Attempt: at, Worker: t.Worker, Boot: t.Boot}, false)
	switch place {
	case Ended:
		r.Attempt = at
		w.end(r)
	case Absent:
		w.end(Report{Attempt: at, How: jobs.EndAbsent})
	}
}

// restart makes a site forget everything, its fencing token included.
func (s *site) restart() {
	clear(s.running)
	clear(s.done)
	s.boot++
	s.epoch, s.floor, s.lease = 0, 0, false
}

// lapse lets a site's lease run out.
func (s *site) lapse() {
	s.lease = false
	for at := range s.running {
		delete(s.running, at)
		s.done[at] = jobs.EndStopped
	}
}

// finish lets a site finish its first task by name.
func (w *world) finish(s *site) {
	var first Attempt
	for at := range s.running {
		if first.Task == "" || at.Task < first.Task {
			first = at
		}
	}
	if first.Task == "" {
		return
	}
	delete(s.running, first)
	s.done[first] = jobs.EndOK
	w.ran[first.Task]++
}

// check verifies the promises.
func (w *world) check() {
	where := map[string]string{}
	for id, s := range w.sites {
		assert.Assert(w.t, s.used() <= s.cap, "worker %s runs %d of %d", id, s.used(), s.cap)
		for at := range s.running {
			other, twice := where[at.Task]
			assert.Assert(w.t, !twice, "task %s runs on %s and %s", at.Task, other, id)
			where[at.Task] = id
		}
	}
	for task, n := range w.ran {
		assert.Assert(w.t, n <= 1, "task %s finished %d times", task, n)
	}
}

// TestPromisesUnderFaults drives the books through delayed, repeated and
// unanswered starts, paused keepers, takeovers and restarts of workers.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			w.step()
			w.check()
		}
	})
}

func (w *world) step() {
	w.nowMs++
	i := rapid.IntRange(0, len(w.tasks)-1).Draw(w.t, "task")
	k := rapid.SampledFrom(w.keepers).Draw(w.t, "keeper")
	s := w.sites[rapid.SampledFrom([]string{"w0", "w1"}).Draw(w.t, "site")]
	switch rapid.IntRange(0, 11).Draw(w.t, "step") {
	case 0, 1, 2:
		w.place(i)
	case 3, 4:
		w.send(k, i)
	case 5, 6:
		if len(w.net) > 0 {
			n := rapid.IntRange(0, len(w.net)-1).Draw(w.t, "message")
			w.deliver(n, rapid.Bool().Draw(w.t, "answered"), rapid.IntRange(0, 3).Draw(w.t, "again") == 0)
		}
	case 7, 8:
		w.renew(k, s)
	case 9:
		w.ask(i)
	case 10:
		switch rapid.IntRange(0, 7).Draw(w.t, "fate") {
		case 0:
			s.restart()
		case 1:
			s.lapse()
		case 2:
			s.lapse()
			for _, r := range w.newest().books.LoseWorker(s.id) {
				w.end(r)
			}
		default:
			w.finish(s)
		}
	case 11:
		if rapid.IntRange(0, 3).Draw(w.t, "takeover") == 0 {
			w.takeover()
		} else {
			w.newest().books.Lapse(w.nowMs)
		}
	}
}

// TestEvict checks that eviction stops the least, and that the room it makes
// goes to the urgent attempt alone.
func TestEvict(t *testing.T) {
	b := New()
	b.SetWorkers([]Worker{{ID: "w0", Cap: jobs.Size{CPU: 8}}, {ID: "w1", Cap: jobs.Size{CPU: 8}}})
	running := func(worker string, sizes ...int64) {
		var seen []Seen
		for i, size := range sizes {
			seen = append(seen, Seen{Attempt: Attempt{Task: fmt.Sprint(worker, i), Number: 1}, Kind: jobs.Batch, Size: jobs.Size{CPU: size}})
		}
		b.Inventory(worker, Inventory{Seen: seen})
	}
	running("w0", 4, 4)
	running("w1", 2, 2, 2, 2)
	urgent := Ask{Attempt: Attempt{Task: "u", Number: 1}, Kind: jobs.Urgent, Size: jobs.Size{CPU: 2}}
	_, ok := b.Reserve(urgent, 0)
	assert.Assert(t, !ok)
	victims := b.Evict(urgent, 0, 100)
	assert.Equal(t, len(victims), 1)
	assert.Equal(t, victims[0].Task, "w10")
	assert.Equal(t, len(b.Evict(urgent, 1, 100)), 0)
	b.Inventory("w1", Inventory{Renewal: Renewal{Floor: 1}, Seen: []Seen{
		{Attempt: victims[0], How: jobs.EndCheckpointed},
		{Attempt: Attempt{Task: "w11", Number: 1}, Kind: jobs.Batch, Size: jobs.Size{CPU: 2}},
		{Attempt: Attempt{Task: "w12", Number: 1}, Kind: jobs.Batch, Size: jobs.Size{CPU: 2}},
		{Attempt: Attempt{Task: "w13", Number: 1}, Kind: jobs.Batch, Size: jobs.Size{CPU: 2}},
	}})
	other := Ask{Attempt: Attempt{Task: "o", Number: 1}, Kind: jobs.Batch, Size: jobs.Size{CPU: 1}}
	_, ok = b.Reserve(other, 2)
	assert.Assert(t, !ok, "the room is kept for the urgent attempt")
	slot, ok := b.Reserve(urgent, 2)
	assert.Assert(t, ok)
	assert.Equal(t, slot.Worker, "w1")
}
