package sched

import "math"

// There are two estimates of a run time: the mean run time of the image, and the
// declared estimate times a correction factor of the queue. Declared estimates
// are accurate in some queues and off by up to 90% in others. Each queue uses
// the estimate that had the smaller recent error.

// mean is an exponentially weighted moving average.
type mean struct {
	value   float64
	samples int
}

// minSampleWeight is the least weight of a new sample. The first samples weigh
// more.
const recentWeight = 0.1

func (m *mean) add(x float64) {
	m.samples++
	m.value += max(recentWeight, 1/float64(m.samples)) * (x - m.value)
}

// minSamples is the number of samples from which a mean is used.
const enoughSamples = 3

// imageKey identifies tasks with similar run times.
type runKey struct {
	queue string
	image string
}

// queueStats holds the run time statistics of a queue.
type queueTimes struct {
	factor   mean // run time divided by the declared estimate
	estError mean // log error of the declared estimate times the factor
	imgError mean // log error of the image's mean
}

// estimator estimates run times and the slowdown of workers.
type learned struct {
	queues map[string]*queueTimes
	images map[runKey]*mean
	speed  map[string]*mean // by worker: run time divided by the expected run time
}

func newLearned() learned {
	return learned{queues: map[string]*queueTimes{}, images: map[runKey]*mean{}, speed: map[string]*mean{}}
}

// stats returns the statistics of a queue, creating them if necessary.
func (l learned) times(queue string) *queueTimes {
	q := l.queues[queue]
	if q == nil {
		q = &queueTimes{}
		l.queues[queue] = q
	}
	return q
}

// runMs estimates the run time of a task of the step, in ms.
func (l learned) runMs(queue string, s Step) int64 {
	byEstimate, byImage := l.both(queue, s)
	q := l.times(queue)
	if byImage > 0 && (s.EstimateMs == 0 || q.imgError.value < q.estError.value) {
		return int64(byImage)
	}
	return int64(byEstimate)
}

// estimates returns both estimates, in ms. byImage is 0 if it has too few samples.
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

// Limits of a sample of a worker's slowdown, so that a single outlier does not
// dominate the mean.
const (
	leastSpeed = 0.25
	mostSpeed  = 8
)

// recordRun adds the run time of a completed task to the statistics.
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

// slowdownClasses is the number of slowdown classes.
const slowClasses = 4

// slowdownClass returns the slowdown class of a worker, from 0 for normal speed to
// 3 for a slowdown of 3 or more.
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
