package sched

import (
	"github.com/ansel1/merry/v2"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
)

// Key prefixes of job records, and the key of the claim record.
const (
	specPrefix     = "j"
	progressPrefix = "p"
	suspectPrefix  = "c"
	claimKey       = "o"
)

// Job is an accepted job with its progress.
type Job struct {
	Spec     Spec
	Progress Progress

	firstTask   []int  // index of the first task of each step within an occurrence
	tasksPerOcc int    // number of tasks of one occurrence
	graph       *graph // see stepGraph
	queue       *jobQueue

	suspectsStored bool // a record of its suspects may be stored

	checkpointBytes int  // total length of the checkpoints of its tasks
	checkpointsFull bool // a checkpoint was not kept; see checkpointBudget
}

// State is the result of applying the records of the job topic. It depends only
// on the newest record of each key, so it can be read from a compacted log.
type State struct {
	Jobs       map[string]*Job
	Claim      Claim
	NextOffset int64 // offset of the next record to apply; set by the caller

	earlyProgress map[string]Progress  // progress records that were applied before their spec, by job
	earlySuspects map[string][]suspect // the same for records of suspects
	parts         map[string]*partSet  // values that are stored in parts, by key
	queues        map[string]Queue     // queues of jobs, by ID
}

// NewState returns the state of an empty topic.
func NewState() *State {
	return &State{Jobs: map[string]*Job{}, earlyProgress: map[string]Progress{}, earlySuspects: map[string][]suspect{}, parts: map[string]*partSet{}, queues: map[string]Queue{}}
}

// newJob returns a job with all tasks waiting.
func newJob(spec Spec) *Job {
	j := &Job{Spec: spec}
	for _, s := range spec.Steps {
		j.firstTask = append(j.firstTask, j.tasksPerOcc)
		j.tasksPerOcc += s.Count
	}
	j.Progress.Tasks = make([]Task, j.tasksPerOcc*max(spec.Occurrences, 1))
	return j
}

// occurrences returns the number of occurrences of the job.
func (j *Job) occurrences() int { return len(j.Progress.Tasks) / max(j.tasksPerOcc, 1) }

// task returns the task of a Ref, or nil if the job has no such task.
func (j *Job) task(r Ref) *Task {
	if r.Occ < 0 || r.Occ >= j.occurrences() || r.Step < 0 || r.Step >= len(j.firstTask) || r.Index < 0 || r.Index >= j.Spec.Steps[r.Step].Count {
		return nil
	}
	return &j.Progress.Tasks[r.Occ*j.tasksPerOcc+j.firstTask[r.Step]+r.Index]
}

// stepTasks returns the tasks of one step of an occurrence.
func (j *Job) stepTasks(occ, step int) []Task {
	from := occ*j.tasksPerOcc + j.firstTask[step]
	return j.Progress.Tasks[from : from+j.Spec.Steps[step].Count]
}

// Apply applies one record to the state.
func (s *State) Apply(key string, value []byte) (err error) {
	defer fault.Annotate(&err, "record %q", key)
	if key == claimKey {
		s.Claim, err = frame.Decode[Claim](value)
		return err
	}
	if len(key) < 2 {
		return merry.New("record key has no job ID")
	}
	id := key[1:]
	switch key[:1] {
	case specPrefix:
		return s.applySpec(id, value)
	case progressPrefix:
		return s.applyProgress(id, value)
	case suspectPrefix:
		return s.applySuspects(id, value)
	case partPrefix:
		return s.applyPart(key, value)
	case queuePrefix:
		return s.applyQueue(id, value)
	}
	return merry.New("record key has an unknown prefix")
}

func (s *State) applySpec(id string, value []byte) error {
	if len(value) == 0 {
		delete(s.Jobs, id)
		delete(s.earlyProgress, id)
		delete(s.earlySuspects, id)
		return nil
	}
	spec, err := frame.Decode[Spec](value)
	if err != nil {
		return err
	}
	if s.Jobs[id] != nil {
		return nil
	}
	j := newJob(spec)
	if p, ok := s.earlyProgress[id]; ok && len(p.Tasks) == len(j.Progress.Tasks) {
		j.Progress = p
	}
	if list, ok := s.earlySuspects[id]; ok {
		j.setSuspects(list)
	}
	delete(s.earlyProgress, id)
	delete(s.earlySuspects, id)
	s.Jobs[id] = j
	return nil
}

func (s *State) applyProgress(id string, value []byte) error {
	j := s.Jobs[id]
	if len(value) == 0 {
		// The job is removed when its spec record is deleted.
		delete(s.earlyProgress, id)
		return nil
	}
	p, err := frame.Decode[Progress](value)
	if err != nil {
		return err
	}
	if j == nil {
		s.earlyProgress[id] = p
		return nil
	}
	if len(p.Tasks) != len(j.Progress.Tasks) {
		return merry.Errorf("progress record has %d tasks, but the job has %d", len(p.Tasks), len(j.Progress.Tasks))
	}
	for i := range p.Tasks {
		p.Tasks[i].Suspicion = j.Progress.Tasks[i].Suspicion
	}
	j.Progress = p
	return nil
}

func (s *State) applySuspects(id string, value []byte) error {
	if len(value) == 0 {
		delete(s.earlySuspects, id)
		return nil
	}
	list, err := frame.Decode[[]suspect](value)
	if err != nil {
		return err
	}
	if j := s.Jobs[id]; j != nil {
		j.setSuspects(list)
	} else {
		s.earlySuspects[id] = list
	}
	return nil
}

func (s *State) applyQueue(id string, value []byte) error {
	if len(value) == 0 {
		delete(s.queues, id)
		return nil
	}
	q, err := frame.Decode[Queue](value)
	if err != nil {
		return err
	}
	s.queues[id] = q
	return nil
}

// ClaimRecord returns the key and value of a claim record.
func ClaimRecord(c Claim) (key string, value []byte, err error) {
	value, err = frame.Encode(c)
	return claimKey, value, err
}

// SpecRecord returns the key and value of the record of an accepted job.
func SpecRecord(spec Spec) (key string, value []byte, err error) {
	value, err = frame.Encode(spec)
	return specPrefix + spec.ID, value, err
}

// ProgressRecord returns the key and value of a progress record.
func ProgressRecord(id string, p Progress) (key string, value []byte, err error) {
	value, err = frame.Encode(p)
	return progressPrefix + id, value, err
}

// dropKeys returns the record keys to delete when the retention of a job ends.
func (j *Job) dropKeys() []string {
	keys := []string{progressPrefix + j.Spec.ID, specPrefix + j.Spec.ID}
	if j.suspectsStored {
		keys = append(keys, suspectPrefix+j.Spec.ID)
	}
	return keys
}
