package load

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Class is a class of platform requests in a mix.
type Class struct {
	Name  string
	Share float64
	Write bool
	Parts int // parts of each object; 1: requests name no part
}

// Mix is a mix of platform requests for objects whose popularity has a Zipf
// distribution.
type Mix struct {
	Classes []Class
	Objects int     // per class
	Zipf    float64 // exponent; must be above 1
	Body    int     // size of a write's body in bytes
}

// Check returns an error if the mix is invalid.
func (m *Mix) Check() error {
	sum := 0.0
	for _, c := range m.Classes {
		if c.Name == "" || c.Share < 0 || c.Parts < 1 {
			return fmt.Errorf("load: invalid class %q: share %v, %d parts", c.Name, c.Share, c.Parts)
		}
		sum += c.Share
	}
	switch {
	case !(sum > 0):
		return errors.New("load: no class has a share")
	case m.Objects < 1 || !(m.Zipf > 1) || m.Body < 0:
		return fmt.Errorf("load: invalid mix: %d objects, Zipf exponent %v (must be above 1), writes of %d bytes", m.Objects, m.Zipf, m.Body)
	}
	return nil
}

// Kinds returns the names of the classes.
func (m *Mix) Kinds() (names []string) {
	for _, c := range m.Classes {
		names = append(names, c.Name)
	}
	return names
}

// NewGenerator returns a generator of platform requests.
func (m *Mix) NewGenerator(_ int, r *rand.Rand) Generator {
	generator := &mixGenerator{Mix: m, r: r, zipf: rand.NewZipf(r, m.Zipf, 1, uint64(m.Objects-1)), body: strings.Repeat("x", m.Body)}
	for _, c := range m.Classes {
		generator.shareSum += c.Share
	}
	return generator
}

// firstObjectID keeps object names distinct from those of lab/world.
const firstObjectID = 10 << 32

type mixGenerator struct {
	*Mix
	r        *rand.Rand
	zipf     *rand.Zipf
	shareSum float64
	body     string
}

// Pick implements Generator.
func (m *mixGenerator) Pick() (kind int) {
	for x := m.r.Float64() * m.shareSum; kind < len(m.Classes)-1 && x >= m.Classes[kind].Share; kind++ {
		x -= m.Classes[kind].Share
	}
	return kind
}

// Append implements Generator.
func (m *mixGenerator) Append(b []byte, kind int, now, until Micros) []byte {
	c, object := &m.Classes[kind], m.zipf.Uint64()
	method := "GET "
	if c.Write {
		method, object = "PUT ", m.r.Uint64()
	}
	b = append(append(append(b, method...), "/call/"...), c.Name...)
	b = append(b, '/')
	b = strconv.AppendUint(b, object+firstObjectID, 16)
	if c.Parts > 1 {
		b = strconv.AppendInt(append(b, "?seg="...), int64(m.r.IntN(c.Parts)), 10)
	}
	b = append(b, " HTTP/1.1\r\nHost: load\r\nReq-Id: "...)
	const digits = "0123456789abcdef"
	for id, i := m.r.Uint64(), 0; i < 16; i++ {
		b = append(b, digits[id>>(4*i)&15])
	}
	b = strconv.AppendInt(append(b, "\r\nReq-Wait-Ms: "...), max(1, (until-now)/1000), 10)
	b = strconv.AppendUint(append(b, "\r\nX-Bucket: "...), object&255, 10)
	if c.Write {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(m.body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	if c.Write {
		b = append(b, m.body...)
	}
	return b
}

// Targets are GET requests for a list of paths on any server, such as signed links,
// sent one after another.
type Targets struct {
	Host string
	List []string
}

// Kinds returns the single kind.
func (t *Targets) Kinds() []string { return []string{"target"} }

// NewGenerator returns a generator that begins at a different place in the list for each thread.
func (t *Targets) NewGenerator(thread int, _ *rand.Rand) Generator {
	return &targetGenerator{t, thread * 7919}
}

type targetGenerator struct {
	*Targets
	next int
}

// Pick implements Generator.
func (t *targetGenerator) Pick() int { return 0 }

// Append implements Generator.
func (t *targetGenerator) Append(b []byte, _ int, _, _ Micros) []byte {
	t.next++
	b = append(append(b, "GET "...), t.List[t.next%len(t.List)]...)
	b = append(append(b, " HTTP/1.1\r\nHost: "...), t.Host...)
	return append(b, "\r\n\r\n"...)
}
