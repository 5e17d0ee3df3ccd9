package world

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
)

// object is what clients ask for.
type object struct {
	class int
	group uint8
	scale float64 // of its parts' size, over the class's mean
	parts int
}

// catalog is all objects that were ever asked for, and how popular they are.
type catalog struct {
	w       *World
	objects []object
	classes []popular
	adopted map[string]uint32 // objects that were asked for from outside, by class and name
}

// popular is one class's objects: those of all branches, and each branch's own.
type popular struct {
	all   ranking
	local []ranking
}

// ranking is objects with a Zipf popularity that moves on by and by.
type ranking struct {
	first uint32 // in the catalog
	order []int32
	sums  []float64
}

func newCatalog(w *World) *catalog {
	c := &catalog{w: w, classes: make([]popular, len(w.spec.Classes))}
	for i, class := range w.spec.Classes {
		if class.Write {
			continue
		}
		c.classes[i].all = c.rank(i, class.Objects)
		for range w.spec.Branches {
			c.classes[i].local = append(c.classes[i].local, c.rank(i, max(1, class.Objects/4)))
		}
	}
	return c
}

func (c *catalog) rank(class, n int) ranking {
	r := ranking{first: uint32(len(c.objects)), sums: make([]float64, n), order: make([]int32, n)}
	sum := 0.0
	for i := range n {
		c.add(class, c.w.rand)
		sum += math.Pow(float64(i+1), -c.w.spec.Classes[class].Zipf)
		r.sums[i], r.order[i] = sum, int32(i)
	}
	c.w.rand.Shuffle(n, func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
	return r
}

// add makes a new object.
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

// draw gives an object that a branch's client wants now.
func (c *catalog) draw(class, branch int, now Micros, r *rand.Rand) uint32 {
	spec := &c.w.spec.Classes[class]
	if spec.Write || r.Float64() < max(spec.OneTimeShare, c.w.scan) {
		return c.add(class, r)
	}
	x := &c.classes[class].all
	if r.Float64() < spec.LocalShare {
		x = &c.classes[class].local[branch]
	}
	at := sort.SearchFloat64s(x.sums, r.Float64()*x.sums[len(x.sums)-1])
	if spec.DriftPeriod > 0 {
		at = (at + int(now/spec.DriftPeriod)) % len(x.order)
	}
	return x.first + uint32(x.order[min(at, len(x.order)-1)])
}

// bytes is the size of an object's parts.
func (c *catalog) bytes(o *object) float64 {
	return float64(c.w.spec.Classes[o.class].SendTime) / 1e6 * c.w.spec.Flow * o.scale
}

// adopt gives the object of a name that somebody outside the world asks for. It is
// none that the world's own clients ask for, whatever its name.
func (c *catalog) adopt(text string, class int, r *rand.Rand) uint32 {
	if c.adopted == nil {
		c.adopted = map[string]uint32{}
	}
	key := c.w.spec.Classes[class].Name + "/" + text
	o, ok := c.adopted[key]
	if !ok {
		o = c.add(class, r)
		c.objects[o].parts = math.MaxUint16
		c.adopted[key] = o
	}
	return o
}

// name is how an object is called on the wire.
func name(object uint32) string { return strconv.FormatUint(uint64(object)|1<<32, 16) }

// named finds the object of a name.
func (c *catalog) named(text string) (uint32, bool) {
	n, err := strconv.ParseUint(text, 16, 64)
	at := n &^ (1 << 32)
	if err != nil || n>>32 != 1 || at >= uint64(len(c.objects)) {
		return 0, false
	}
	return uint32(at), true
}
