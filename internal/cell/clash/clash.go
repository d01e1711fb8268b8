// Package clash learns which tasks slow each other down on one worker.
//
// Tasks of one image behave alike. For each run that has ended, the caller records its run time
// divided by what was expected of its image on its worker, and for which share of that time tasks
// of other images ran beside it. For a pair of images the Tracker compares the runs of the first
// that had the second beside them with those that had not. The second slows the first down if
// the difference is large, and larger than chance would make it.
//
// What else makes a run long must not be taken for a neighbor. The caller compares with the
// same image and the same worker, so that a wrong estimate and a slow worker cancel out, and
// leaves out runs that continue from a checkpoint, members of gangs, which wait for each
// other, and runs without an end of their own.
//
// Rejected: groups of images named by operators, since they do not know them; probing by
// placing pairs on purpose, which slows callers down to learn; a regression over all images,
// whose cost grows with the square of their number. The effects of
// two images that always run together can't be separated by this method either.
//
// Evidence halves with each HalfLifeMs, so a pair is forgotten when it no longer meets or no
// longer slows. Each image has at most MaxPartners others, the most frequent ones, and there are at
// most MaxImages of them.
//
// # Usage
//
//	t := clash.New(clash.Config{})
//	t.Record(clash.Run{Image: "a", Ratio: 1.5, Beside: map[string]float64{"b": 0.9}, AtMs: now})
//	if t.Slows("a", "b", now) { ... } // b slows a down
package clash

import (
	"math"
	"sort"
)

// Config holds the parameters of a Tracker. Zero fields take the defaults.
type Config struct {
	MinSamples  float64 // runs with the other image beside them, and runs without it, before a pair counts
	MinSlowdown float64 // least ratio of their mean run times
	HalfLifeMs  float64 // time in which evidence loses half of its weight
	MaxPartners int     // other images of which evidence is kept, for each image
	MaxImages   int     // images of which evidence is kept
}

// Defaults of Config.
const (
	defaultMinSamples  = 8
	defaultMinSlowdown = 1.15 // below that, a placement elsewhere gains less than it may cost
	defaultHalfLifeMs  = 120_000
	defaultMaxPartners = 32
	defaultMaxImages   = 2_048
)

// maxNameBytes is the length of the longest image name of which evidence is kept. Callers choose
// the names.
const maxNameBytes = 256

// besideShare is the least share of a run for which another image has to run beside it. Runs
// with less of it, but some, tell nothing.
const besideShare = 0.5

// chanceErrors is the number of standard errors that a difference has to exceed. With a
// thousand pairs, three would take some pairs for slowing by chance, and four do so in long runs.
const chanceErrors = 5

// Run is a run that has ended well.
type Run struct {
	Image  string
	Ratio  float64            // run time by what was expected of the image on the worker
	Beside map[string]float64 // by image: share of the run for which a task of it ran beside
	AtMs   int64
}

// sums are weighted sums of the logarithms of ratios. Logarithms, because run times are
// skewed, and slowdowns multiply.
type sums struct {
	n, sum, squares float64
	atMs            int64
}

func (s *sums) fade(halfLifeMs float64, nowMs int64) {
	if nowMs > s.atMs {
		f := math.Exp2(-float64(nowMs-s.atMs) / halfLifeMs)
		s.n, s.sum, s.squares, s.atMs = s.n*f, s.sum*f, s.squares*f, nowMs
	}
}

func (s *sums) add(x float64) { s.n, s.sum, s.squares = s.n+1, s.sum+x, s.squares+x*x }

func (s sums) minus(o sums) sums {
	return sums{n: s.n - o.n, sum: s.sum - o.sum, squares: s.squares - o.squares}
}

func (s sums) mean() float64 { return s.sum / s.n }

// errorOfMean returns the square of the standard error of the mean.
func (s sums) errorOfMean() float64 {
	variance := max(s.squares/s.n-s.mean()*s.mean(), 0)
	return variance / s.n
}

// pairSums is the evidence of one other image.
type pairSums struct {
	beside sums // runs with the other image beside them for besideShare or more
	any    sums // runs with any of it beside them
}

// imageSums is the evidence of one image.
type imageSums struct {
	all    sums
	others map[string]*pairSums
}

// Tracker is the evidence of all pairs. It is not safe for concurrent use.
type Tracker struct {
	cfg    Config
	images map[string]*imageSums
}

// New returns a tracker without evidence.
func New(cfg Config) *Tracker {
	if cfg.MinSamples == 0 {
		cfg.MinSamples = defaultMinSamples
	}
	if cfg.MinSlowdown == 0 {
		cfg.MinSlowdown = defaultMinSlowdown
	}
	if cfg.HalfLifeMs == 0 {
		cfg.HalfLifeMs = defaultHalfLifeMs
	}
	if cfg.MaxPartners == 0 {
		cfg.MaxPartners = defaultMaxPartners
	}
	if cfg.MaxImages == 0 {
		cfg.MaxImages = defaultMaxImages
	}
	return &Tracker{cfg: cfg, images: map[string]*imageSums{}}
}

// Record adds a run to the evidence.
func (t *Tracker) Record(r Run) {
	if !named(r.Image) || r.Ratio <= 0 {
		return
	}
	x := math.Log(r.Ratio)
	im := t.images[r.Image]
	if im == nil {
		if len(t.images) >= t.cfg.MaxImages {
			t.dropRarestImage(r.AtMs)
		}
		im = &imageSums{others: map[string]*pairSums{}}
		t.images[r.Image] = im
	}
	im.all.fade(t.cfg.HalfLifeMs, r.AtMs)
	im.all.add(x)
	for other, share := range r.Beside {
		if !named(other) || share <= 0 {
			continue
		}
		p := im.others[other]
		if p == nil {
			p = &pairSums{}
			im.others[other] = p
			t.dropRarest(im, other, r.AtMs)
		}
		p.any.fade(t.cfg.HalfLifeMs, r.AtMs)
		p.any.add(x)
		if share >= besideShare {
			p.beside.fade(t.cfg.HalfLifeMs, r.AtMs)
			p.beside.add(x)
		}
	}
}

// named reports whether evidence of an image is kept.
func named(image string) bool { return image != "" && len(image) <= maxNameBytes }

// dropRarestImage drops the image with the least evidence.
func (t *Tracker) dropRarestImage(nowMs int64) {
	rarest, least := "", math.Inf(1)
	for name, im := range t.images {
		im.all.fade(t.cfg.HalfLifeMs, nowMs)
		if im.all.n < least || im.all.n == least && name < rarest {
			rarest, least = name, im.all.n
		}
	}
	delete(t.images, rarest)
}

// dropRarest drops the other image with the least evidence, but not the new one, if there are
// too many.
func (t *Tracker) dropRarest(im *imageSums, added string, nowMs int64) {
	if len(im.others) <= t.cfg.MaxPartners {
		return
	}
	rarest, least := "", math.Inf(1)
	for name, p := range im.others {
		p.any.fade(t.cfg.HalfLifeMs, nowMs)
		if name != added && (p.any.n < least || p.any.n == least && name < rarest) {
			rarest, least = name, p.any.n
		}
	}
	delete(im.others, rarest)
}

// Pair says that tasks of one image run longer beside tasks of another one.
type Pair struct {
	Image, Other string
	Slowdown     float64 // ratio of the mean run times with and without the other one
	Samples      float64 // runs beside it, weighted by their age
}

// pair returns what is known of a pair, and whether the other image slows the first down.
func (t *Tracker) pair(image, other string, nowMs int64) (p Pair, slows bool) {
	im := t.images[image]
	if im == nil || im.others[other] == nil {
		return p, false
	}
	o := im.others[other]
	for _, s := range [...]*sums{&im.all, &o.any, &o.beside} {
		s.fade(t.cfg.HalfLifeMs, nowMs)
	}
	without := im.all.minus(o.any)
	if o.beside.n < t.cfg.MinSamples || without.n < t.cfg.MinSamples {
		return p, false
	}
	diff := o.beside.mean() - without.mean()
	p = Pair{Image: image, Other: other, Slowdown: math.Exp(diff), Samples: o.beside.n}
	return p, p.Slowdown >= t.cfg.MinSlowdown && diff*diff > chanceErrors*chanceErrors*(o.beside.errorOfMean()+without.errorOfMean())
}

// Slows reports whether tasks of the other image slow those of the first one down.
func (t *Tracker) Slows(image, other string, nowMs int64) bool {
	_, slows := t.pair(image, other, nowMs)
	return slows
}

// Clash reports whether tasks of one of two images slow those of the other one down.
func (t *Tracker) Clash(a, b string, nowMs int64) bool {
	return t.Slows(a, b, nowMs) || t.Slows(b, a, nowMs)
}

// Pairs returns all pairs of which one image slows the other down, for operators.
func (t *Tracker) Pairs(nowMs int64) (list []Pair) {
	for image, im := range t.images {
		for other := range im.others {
			if p, slows := t.pair(image, other, nowMs); slows {
				list = append(list, p)
			}
		}
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].Image != list[b].Image {
			return list[a].Image < list[b].Image
		}
		return list[a].Other < list[b].Other
	})
	return list
}
