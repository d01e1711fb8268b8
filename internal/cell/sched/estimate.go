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

// minSampleWeight is the minimum weight of a new sample. The first samples have a
// higher weight.
const minSampleWeight = 0.1

func (m *mean) add(x float64) {
	m.samples++
	m.value += max(minSampleWeight, 1/float64(m.samples)) * (x - m.value)
}

// A mean is used only after minSamples samples.
const minSamples = 3

// imageKey identifies the tasks of one queue with the same image. Tasks without an
// image share one key.
type imageKey struct {
	queue string
	image string
}

// queueStats holds the run time statistics of a queue.
type queueStats struct {
	factor   mean // run time divided by the declared estimate
	estError mean // mean of |log(run time / (declared estimate * factor))|
	imgError mean // mean of |log(run time / mean run time of the image)|
}

// maxImages is the number of images from which on those that were not used lately are
// forgotten. Callers choose the names, so their number has no limit of its own.
const maxImages = 4096

// maxImageName is the length of the longest image name, in bytes, that is kept. Tasks with a
// longer one count as tasks without an image.
const maxImageName = 256

func keyOfImage(queue string, s Step) imageKey {
	if len(s.Image) > maxImageName {
		return imageKey{queue: queue}
	}
	return imageKey{queue, s.Image}
}

// imageMeans holds the mean run times of images. When one generation of them is full, the one
// before it is dropped, so that up to 2*maxImages are known.
type imageMeans struct{ current, before map[imageKey]*mean }

// get returns the mean of an image, nil if none is known.
func (m *imageMeans) get(key imageKey) *mean {
	if v := m.current[key]; v != nil {
		return v
	}
	return m.before[key]
}

// add adds a run time of an image.
func (m *imageMeans) add(key imageKey, ms float64) {
	v := m.current[key]
	if v == nil {
		if len(m.current) >= maxImages {
			m.current, m.before = map[imageKey]*mean{}, m.current
		}
		if v = m.before[key]; v == nil {
			v = &mean{}
		}
		m.current[key] = v
	}
	v.add(ms)
}

// estimator estimates run times and the slowdown of workers.
type estimator struct {
	queues    map[string]*queueStats
	images    *imageMeans
	slowdowns map[string]*mean // by worker: run time divided by the expected run time
}

func newEstimator() estimator {
	return estimator{queues: map[string]*queueStats{}, images: &imageMeans{current: map[imageKey]*mean{}}, slowdowns: map[string]*mean{}}
}

// stats returns the statistics of a queue, creating them if necessary.
func (e estimator) stats(queue string) *queueStats {
	q := e.queues[queue]
	if q == nil {
		q = &queueStats{}
		e.queues[queue] = q
	}
	return q
}

// runMs estimates the run time of a task of the step, in ms. An error without
// samples counts as 0, so the image's mean is used until imgError has a sample.
func (e estimator) runMs(queue string, s Step) int64 {
	byEstimate, byImage := e.estimates(queue, s)
	q := e.stats(queue)
	if byImage > 0 && (s.EstimateMs == 0 || q.imgError.value < q.estError.value) {
		return int64(byImage)
	}
	return int64(byEstimate)
}

// estimates returns both estimates, in ms. byImage is 0 if it has too few samples.
func (e estimator) estimates(queue string, s Step) (byEstimate, byImage float64) {
	byEstimate = float64(s.EstimateMs)
	if q := e.stats(queue); q.factor.samples >= minSamples {
		byEstimate *= q.factor.value
	}
	if m := e.images.get(keyOfImage(queue, s)); m != nil && m.samples >= minSamples {
		byImage = m.value
	}
	return byEstimate, byImage
}

// Limits of a sample of a worker's slowdown, so that a single outlier does not
// dominate the mean.
const (
	minSlowdown = 0.25
	maxSlowdown = 8
)

// recordRun adds the run time of a completed task to the statistics.
func (e estimator) recordRun(queue, worker string, s Step, ms int64) {
	took := float64(max(ms, 1))
	byEstimate, byImage := e.estimates(queue, s)
	q := e.stats(queue)
	if expected := float64(e.runMs(queue, s)); expected > 0 {
		m := e.slowdowns[worker]
		if m == nil {
			m = &mean{}
			e.slowdowns[worker] = m
		}
		m.add(min(max(took/expected, minSlowdown), maxSlowdown))
	}
	if byEstimate > 0 {
		q.estError.add(math.Abs(math.Log(took / byEstimate)))
		q.factor.add(took / float64(s.EstimateMs))
	}
	if byImage > 0 {
		q.imgError.add(math.Abs(math.Log(took / byImage)))
	}
	e.images.add(keyOfImage(queue, s), took)
}

// slowdownOf returns the run time of a task by the mean run time of its image and the usual
// slowdown of the worker; 0 if too little is known of either.
func (e estimator) slowdownOf(queue, worker string, s Step, ms int64) float64 {
	image, usual := e.images.get(keyOfImage(queue, s)), e.slowdowns[worker]
	if image == nil || usual == nil || image.samples < minSamples || usual.samples < minSamples {
		return 0
	}
	return float64(ms) / (image.value * usual.value)
}

// slowdownClasses is the number of slowdown classes. A higher class means slower
// runs.
const slowdownClasses = 4

// slowdownClass returns the slowdown class of a worker, from 0 for normal speed to
// 3 for a slowdown of 3 or more.
func (e estimator) slowdownClass(worker string) int {
	m := e.slowdowns[worker]
	if m == nil || m.samples < minSamples {
		return 0
	}
	for class, limit := range [...]float64{1.15, 1.7, 3} {
		if m.value < limit {
			return class
		}
	}
	return 3
}
