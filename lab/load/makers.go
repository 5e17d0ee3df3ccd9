package load

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Class is a class of the platform's requests in a mix.
type Class struct {
	Name  string
	Share float64
	Write bool
	Parts int // of each object; 1: none are told
}

// Mix is a mix of the platform's requests for objects whose popularity is as Zipf
// has it.
type Mix struct {
	Classes []Class
	Objects int     // of each class
	Zipf    float64 // exponent, above 1
	Body    int     // bytes of a write
}

// Check names what is no mix.
func (m *Mix) Check() error {
	sum := 0.0
	for _, c := range m.Classes {
		if c.Name == "" || c.Share < 0 || c.Parts < 1 {
			return fmt.Errorf("load: class %q with a share of %v and %d parts", c.Name, c.Share, c.Parts)
		}
		sum += c.Share
	}
	switch {
	case !(sum > 0):
		return errors.New("load: no class has a share")
	case m.Objects < 1 || !(m.Zipf > 1) || m.Body < 0:
		return fmt.Errorf("load: %d objects, an exponent of %v (above 1), writes of %d bytes", m.Objects, m.Zipf, m.Body)
	}
	return nil
}

// Kinds are the names of the classes.
func (m *Mix) Kinds() (names []string) {
	for _, c := range m.Classes {
		names = append(names, c.Name)
	}
	return names
}

// Maker makes the platform's requests.
func (m *Mix) NewGenerator(_ int, r *rand.Rand) Generator {
	x := &mixMaker{Mix: m, r: r, zipf: rand.NewZipf(r, m.Zipf, 1, uint64(m.Objects-1)), body: strings.Repeat("x", m.Body)}
	for _, c := range m.Classes {
		x.sum += c.Share
	}
	return x
}

// firstObject keeps the objects' names apart from those of lab/world.
const firstObject = 10 << 32

type mixMaker struct {
	*Mix
	r    *rand.Rand
	zipf *rand.Zipf
	sum  float64
	body string
}

// Pick is part of Maker.
func (m *mixMaker) Pick() (kind int) {
	for x := m.r.Float64() * m.sum; kind < len(m.Classes)-1 && x >= m.Classes[kind].Share; kind++ {
		x -= m.Classes[kind].Share
	}
	return kind
}

// Append is part of Maker.
func (m *mixMaker) Append(b []byte, kind int, now, until Micros) []byte {
	c, object := &m.Classes[kind], m.zipf.Uint64()
	method := "GET "
	if c.Write {
		method, object = "PUT ", m.r.Uint64()
	}
	b = append(append(append(b, method...), "/call/"...), c.Name...)
	b = append(b, '/')
	b = strconv.AppendUint(b, object+firstObject, 16)
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

// Targets are requests for any server, one after another: signed links, or whatever
// else stands behind a GET.
type Targets struct {
	Host string
	List []string
}

// Kinds are one.
func (t *Targets) Kinds() []string { return []string{"target"} }

// Maker gives each thread a place of its own in the list.
func (t *Targets) NewGenerator(thread int, _ *rand.Rand) Generator {
	return &targetMaker{t, thread * 7919}
}

type targetMaker struct {
	*Targets
	at int
}

// Pick is part of Maker.
func (t *targetMaker) Pick() int { return 0 }

// Append is part of Maker.
func (t *targetMaker) Append(b []byte, _ int, _, _ Micros) []byte {
	t.at++
	b = append(append(b, "GET "...), t.List[t.at%len(t.List)]...)
	b = append(append(b, " HTTP/1.1\r\nHost: "...), t.Host...)
	return append(b, "\r\n\r\n"...)
}
