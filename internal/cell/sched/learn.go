package sched

import "math"

// Run times are learned in two ways: as the mean of what tasks of one image
// took, and as the declared estimate times a factor. Declared estimates are
// good for some queues and off by up to 90% for others, so for each queue the
// way counts that has been closer lately.

// mean is a running mean that weighs recent samples more.
type mean struct {
	value   float64
	samples int
}

// recentWeight is the weight of a new sample once there are many.
const recentWeight = 0.1

func (m *mean) add(x float64) {
	m.samples++
	m.value += max(recentWeight, 1/float64(m.samples)) * (x - m.value)
}

// enoughSamples is how many samples a mean needs before it counts.
const enoughSamples = 3

// runKey names tasks that behave alike.
type runKey struct {
	queue string
	image string
}

// queueTimes is what a queue's run times have taught.
type queueTimes struct {
	factor   mean // run time against the declared estimate
	estError mean // of the estimate times the factor, as a logarithm
	imgError mean // of the image's mean, as a logarithm
}

// learned holds run times and how fast workers are.
type learned struct {
	queues map[string]*queueTimes
	images map[runKey]*mean
	speed  map[string]*mean // worker -> run time against what was expected
}

func newLearned() learned {
	return learned{queues: map[string]*queueTimes{}, images: map[runKey]*mean{}, speed: map[string]*mean{}}
}

// times returns what is known of a queue.
func (l learned) times(queue string) *queueTimes {
	q := l.queues[queue]
	if q == nil {
		q = &queueTimes{}
		l.queues[queue] = q
	}
	return q
}

// runMs estimates how long a task of the step runs, in ms.
func (l learned) runMs(queue string, s Step) int64 {
	byEstimate, byImage := l.both(queue, s)
	q := l.times(queue)
	if byImage > 0 && (s.EstimateMs == 0 || q.imgError.value < q.estError.value) {
		return int64(byImage)
	}
	return int64(byEstimate)
}

// both returns both estimates; that of the image is 0 while there is none.
func (l learned) both(queue string, s Step) (byEstimate, byImage float64) {
	byEstimate = float64(s.EstimateMs)
	if q := l.times(queue); q.factor.samples >= enoughSamples {
		byEstimate *= q.factor.value
	}
	if m := l.images[runKey{queue, s.Image}]; m != nil && m.samples >= enoughSamples {
		byImage = m.value
	}
	return byEstimate, byImage
}

// Bounds of one sample of a worker's speed, so that a single odd run does not
// decide.
const (
	leastSpeed = 0.25
	mostSpeed  = 8
)

// learnRun takes the run time of a task that was done on a worker.
func (l learned) learnRun(queue, worker string, s Step, ms int64) {
	took := float64(max(ms, 1))
	byEstimate, byImage := l.both(queue, s)
	q := l.times(queue)
	if expected := float64(l.runMs(queue, s)); expected > 0 {
		m := l.speed[worker]
		if m == nil {
			m = &mean{}
			l.speed[worker] = m
		}
		m.add(min(max(took/expected, leastSpeed), mostSpeed))
	}
	if byEstimate > 0 {
		q.estError.add(math.Abs(math.Log(took / byEstimate)))
		q.factor.add(took / float64(s.EstimateMs))
	}
	if byImage > 0 {
		q.imgError.add(math.Abs(math.Log(took / byImage)))
	}
	key := runKey{queue, s.Image}
	if l.images[key] == nil {
		l.images[key] = &mean{}
	}
	l.images[key].add(took)
}

// slowClasses is how many classes of speed there are.
const slowClasses = 4

// slowness puts a worker into one of a few classes by its speed: 0 for one that
// is as fast as others, up to 3 for one that hardly works.
func (l learned) slowness(worker string) int {
	m := l.speed[worker]
	if m == nil || m.samples < enoughSamples {
		return 0
	}
	for class, least := range [...]float64{1.15, 1.7, 3} {
		if m.value < least {
			return class
		}
	}
	return 3
}
