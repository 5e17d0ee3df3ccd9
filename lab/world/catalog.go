package world

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
)

// object is what clients request.
type object struct {
	class int
	group uint8
	scale float64 // size of its parts, relative to the class's mean
	parts int
}

// catalog is all objects that were ever requested, and their popularity.
type catalog struct {
	w        *World
	objects  []object
	classes  []classPopularity
	external map[string]uint32 // objects requested by clients outside the world, by class and name
}

// classPopularity is one class's objects: those of all branches, and each branch's
// own.
type classPopularity struct {
	shared ranking
	local  []ranking
}

// ranking is objects with a Zipf popularity that shifts over time.
type ranking struct {
	base       uint32 // index in the catalog
	order      []int32
	cumulative []float64
}

func newCatalog(w *World) *catalog {
	c := &catalog{w: w, classes: make([]classPopularity, len(w.spec.Classes))}
	for i, class := range w.spec.Classes {
		if class.Write {
			continue
		}
		c.classes[i].shared = c.newRanking(i, class.Objects)
		for range w.spec.Branches {
			c.classes[i].local = append(c.classes[i].local, c.newRanking(i, max(1, class.Objects/4)))
		}
	}
	return c
}

func (c *catalog) newRanking(class, n int) ranking {
	r := ranking{base: uint32(len(c.objects)), cumulative: make([]float64, n), order: make([]int32, n)}
	sum := 0.0
	for i := range n {
		c.add(class, c.w.rand)
		sum += math.Pow(float64(i+1), -c.w.spec.Classes[class].Zipf)
		r.cumulative[i], r.order[i] = sum, int32(i)
	}
	c.w.rand.Shuffle(n, func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
	return r
}

// add creates a new object.
func (c *catalog) add(class int, r *rand.Rand) uint32 {
	spec := &c.w.spec.Classes[class]
	o := object{class: class, group: uint8(r.IntN(groups)), parts: 1,
		scale: math.Exp(spec.Sigma*r.NormFloat64() - spec.Sigma*spec.Sigma/2)}
	if spec.Parts[1] > spec.Parts[0] {
		o.parts = spec.Parts[0] + r.IntN(spec.Parts[1]-spec.Parts[0]+1)
	}
	c.objects = append(c.objects, o)
	return uint32(len(c.objects) - 1)
}

// pick draws an object for a client of a branch.
func (c *catalog) pick(class, branch int, now Micros, r *rand.Rand) uint32 {
	spec := &c.w.spec.Classes[class]
	if spec.Write || r.Float64() < max(spec.OneTimeShare, c.w.scanShare) {
		return c.add(class, r)
	}
	x := &c.classes[class].shared
	if r.Float64() < spec.LocalShare {
		x = &c.classes[class].local[branch]
	}
	index := sort.SearchFloat64s(x.cumulative, r.Float64()*x.cumulative[len(x.cumulative)-1])
	if spec.DriftPeriod > 0 {
		index = (index + int(now/spec.DriftPeriod)) % len(x.order)
	}
	return x.base + uint32(x.order[min(index, len(x.order)-1)])
}

// bytes is the size of one of the object's parts.
func (c *catalog) bytes(o *object) float64 {
	return float64(c.w.spec.Classes[o.class].SendTime) / 1e6 * c.w.spec.Flow * o.scale
}

// externalObject returns the object for a name that a client outside the world
// requests. It is never one that the world's own clients request, whatever its name.
func (c *catalog) externalObject(text string, class int, r *rand.Rand) uint32 {
	if c.external == nil {
		c.external = map[string]uint32{}
	}
	key := c.w.spec.Classes[class].Name + "/" + text
	o, ok := c.external[key]
	if !ok {
		o = c.add(class, r)
		c.objects[o].parts = math.MaxUint16
		c.external[key] = o
	}
	return o
}

// objectName is an object's name on the wire.
func objectName(object uint32) string { return strconv.FormatUint(uint64(object)|1<<32, 16) }

// objectByName finds the object of a name.
func (c *catalog) objectByName(text string) (uint32, bool) {
	n, err := strconv.ParseUint(text, 16, 64)
	index := n &^ (1 << 32)
	if err != nil || n>>32 != 1 || index >= uint64(len(c.objects)) {
		return 0, false
	}
	return uint32(index), true
}
