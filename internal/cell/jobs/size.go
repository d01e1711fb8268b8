package jobs

import (
	"fmt"
	"math/bits"
)

// Unlimited is the value of a dimension without a limit. It is small enough
// that the sum of 32,767 of them does not overflow.
const Unlimited = int64(1) << 48

// Size is an amount of each resource. Its methods return new values.
type Size struct {
	CPU   int64 `json:"cpuMillis"`    // millicores
	Mem   int64 `json:"memoryMiB"`    // MiB
	Accel int64 `json:"accelerators"` // devices
}

// Plus returns s + o.
func (s Size) Plus(o Size) Size {
	return Size{CPU: s.CPU + o.CPU, Mem: s.Mem + o.Mem, Accel: s.Accel + o.Accel}
}

// Minus returns s - o. Dimensions of the result may be negative.
func (s Size) Minus(o Size) Size {
	return Size{CPU: s.CPU - o.CPU, Mem: s.Mem - o.Mem, Accel: s.Accel - o.Accel}
}

// Times returns n times s.
func (s Size) Times(n int64) Size {
	return Size{CPU: s.CPU * n, Mem: s.Mem * n, Accel: s.Accel * n}
}

// Scaled returns s*num/den, rounded down, but at most s, in each dimension.
func (s Size) Scaled(num, den Size) Size {
	return Size{
		CPU:   scale(s.CPU, num.CPU, den.CPU),
		Mem:   scale(s.Mem, num.Mem, den.Mem),
		Accel: scale(s.Accel, num.Accel, den.Accel),
	}
}

// scale returns v*num/den, rounded down. It returns v unchanged if num >= den,
// which includes den == 0, or if v <= 0. A negative num counts as 0.
func scale(v, num, den int64) int64 {
	if num >= den || v <= 0 {
		return v
	}
	hi, lo := bits.Mul64(uint64(v), uint64(max(num, 0)))
	q, _ := bits.Div64(hi, lo, uint64(den))
	return int64(q)
}

// Min returns the smaller of s and o in each dimension.
func (s Size) Min(o Size) Size {
	return Size{CPU: min(s.CPU, o.CPU), Mem: min(s.Mem, o.Mem), Accel: min(s.Accel, o.Accel)}
}

// Max returns the larger of s and o in each dimension.
func (s Size) Max(o Size) Size {
	return Size{CPU: max(s.CPU, o.CPU), Mem: max(s.Mem, o.Mem), Accel: max(s.Accel, o.Accel)}
}

// FitsIn reports whether s is at most o in every dimension.
func (s Size) FitsIn(o Size) bool {
	return s.CPU <= o.CPU && s.Mem <= o.Mem && s.Accel <= o.Accel
}

// IsZero reports whether every dimension is 0.
func (s Size) IsZero() bool { return s.CPU == 0 && s.Mem == 0 && s.Accel == 0 }

// DominantShare returns the dominant share of s: the largest fraction of total that
// it takes in any dimension. Dimensions that are 0 in total are ignored.
func (s Size) DominantShare(total Size) float64 {
	return max(fraction(s.CPU, total.CPU), fraction(s.Mem, total.Mem), fraction(s.Accel, total.Accel))
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String returns the size with its units.
func (s Size) String() string {
	return fmt.Sprintf("%dm cpu, %d MiB, %d accelerators", s.CPU, s.Mem, s.Accel)
}
