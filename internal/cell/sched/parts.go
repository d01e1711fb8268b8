package sched

import (
	"strconv"
	"strings"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
)

// The store limits the length of a record and of an append. A longer value is stored in
// parts, each under a key of its own, all in one append. Their generation tells the parts
// of one value from those of another: the store lists the newest record of each key, which
// is no snapshot. A key has either a record or parts. What takes the place of the other
// deletes it in the same append.
//
// An append that the store can never accept would hold up the records of all jobs, so the
// records of a job always fit into one: a job whose records may not is refused when it is
// submitted (CheckSize), and checkpoints, which grow later and have no limit of their own,
// are kept only up to checkpointBudget.

// partPrefix begins the key of a part: partPrefix, the key of the value, ".", index.
const partPrefix = "x"

// generationBits is the size of the part of a generation that an owner counts; the rest is
// its epoch, so that no two values have the same.
const generationBits = 32

// part is the stored form of one part of a value.
type part struct {
	Generation int64
	Count      int // number of parts of the value
	Data       []byte
}

// partSet holds the parts of one value that have been applied.
type partSet struct {
	generation int64
	count      int            // number of parts of the value
	data       map[int][]byte // by index; dropped when the value is complete
}

func partKey(key string, index int) string { return partPrefix + key + "." + strconv.Itoa(index) }

// applyPart applies the record of a part, and the value when its last part is there.
func (s *State) applyPart(partKey string, value []byte) error {
	name := partKey[len(partPrefix):]
	dot := strings.LastIndexByte(name, '.')
	index, err := strconv.Atoi(name[dot+1:])
	if dot < 0 || err != nil {
		return fault.New(fault.BadResponse, fault.NotRun, "key of a part has no index")
	}
	key := name[:dot]
	if len(value) == 0 {
		if set := s.parts[key]; set != nil && index < set.count {
			delete(s.parts, key) // all parts of a value are deleted together
		}
		return nil
	}
	p, err := frame.Decode[part](value)
	if err != nil {
		return err
	}
	if index < 0 || index >= p.Count {
		return fault.New(fault.BadResponse, fault.NotRun, "part %d of %d", index, p.Count)
	}
	set := s.parts[key]
	if set == nil || set.generation != p.Generation || set.count != p.Count || set.data == nil {
		set = &partSet{generation: p.Generation, count: p.Count, data: map[int][]byte{}}
		s.parts[key] = set
	}
	set.data[index] = p.Data
	if len(set.data) < set.count {
		return nil
	}
	var whole []byte
	for i := range set.count {
		whole = append(whole, set.data[i]...)
	}
	set.data = nil
	return s.Apply(key, whole)
}

// Limits of the store, in bytes, if Config does not give them.
const (
	defaultRecordBytes = 256 << 10
	defaultAppendBytes = 2 << 20
)

// recordOverhead is more than the length of a key and of the lengths around it in a
// record, and of the fields of a part, in bytes.
const recordOverhead = 128

func (c Config) recordBytes() int {
	if c.RecordBytes > 0 {
		return c.RecordBytes
	}
	return defaultRecordBytes
}

func (c Config) appendBytes() int {
	if c.AppendBytes > 0 {
		return c.AppendBytes
	}
	return defaultAppendBytes
}

// checkpointBudget is the limit of the total length of a job's checkpoints, in bytes. The
// rest of an append is left for the description and the tasks of the job.
func (c Config) checkpointBudget() int { return c.appendBytes() / 2 }

// Upper bounds of the stored length of a step without its texts and of a task without its
// checkpoint, in bytes: each number takes up to 9, the ID of a worker some 30.
const (
	maxStepBytes = 256
	maxTaskBytes = 96
)

// CheckSize returns an error if the records of a job may be longer than an append.
func (p *Planner) CheckSize(s Spec) error {
	n := recordOverhead + len(s.ID) + len(s.Queue) + len(s.Team) + len(s.Payload)
	tasks := 0
	for _, t := range s.Steps {
		n += maxStepBytes + 9*len(t.DependsOn) + len(t.RequiredLabel) + len(t.DataRack) + len(t.Image)
		tasks += t.Count
	}
	n += maxTaskBytes * tasks * max(s.Occurrences, 1)
	if limit := p.cfg.appendBytes() - p.cfg.checkpointBudget() - recordOverhead; n > limit {
		return fault.New(fault.TooLarge, fault.NotRun, "the records of job %q may take %d bytes, more than the limit of %d", s.ID, n, limit)
	}
	return nil
}

// addValue adds the records that store a value under a key.
func (p *Planner) addValue(b *Batch, key string, value []byte) error {
	set := p.state.parts[key]
	limit := p.cfg.recordBytes() - recordOverhead
	if len(value) <= limit {
		if set != nil {
			p.deleteParts(b, key, 0)
		}
		b.add(key, value)
		return nil
	}
	p.lastGeneration++
	next := &partSet{generation: p.state.Claim.Epoch<<generationBits + p.lastGeneration, count: (len(value) + limit - 1) / limit}
	if set != nil {
		p.deleteParts(b, key, next.count)
	} else if key[:1] != specPrefix { // a description is stored once, and deleting it deletes the job
		b.add(key, nil)
	}
	p.state.parts[key] = next
	for i := range next.count {
		data, err := frame.Encode(part{Generation: next.generation, Count: next.count, Data: value[i*limit : min((i+1)*limit, len(value))]})
		if err != nil {
			return err
		}
		b.add(partKey(key, i), data)
	}
	return nil
}

// deleteParts adds the records that delete the parts of a value from an index on.
func (p *Planner) deleteParts(b *Batch, key string, from int) {
	set := p.state.parts[key]
	if set == nil {
		return
	}
	for i := from; i < set.count; i++ {
		b.add(partKey(key, i), nil)
	}
	if from == 0 {
		delete(p.state.parts, key)
	}
}
