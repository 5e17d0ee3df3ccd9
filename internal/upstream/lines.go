package upstream

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"cherryramp/internal/gateway"
	"cherryramp/rules"
)

// What an answer may hold at most. Objects hold 240,000 bytes.
const (
	maxLine = 4 << 10
	maxBody = 240_000
)

var (
	errLine    = errors.New("upstream: answer is malformed")
	errFlood   = errors.New("upstream: more came than an answer may hold")
	errStalled = errors.New("upstream: answer stopped short")
	errUnasked = errors.New("upstream: a copy is called current that was not asked about")
)

// answer is one answer of a cache node.
type answer struct {
	id  string
	end gateway.AttemptResult
}

// codes are the words that end an attempt.
var codes = map[string]rules.Code{"ok": rules.OK, "current": rules.OK, "nothing": rules.Miss,
	"refused": rules.Full, "error": rules.ServerError, "stale": rules.NotSent}

// notes are the words of the field why, in the order of the module's notes.
var notes = []string{"", "warm", "fill", "deep_fill", "piggy", "aged", "bounced", "dropped", "lacking",
	"jammed", "backfire"}

// parseAnswer reads an answer from the front of b; 0 bytes are used while it is
// not whole.
func parseAnswer(b []byte) (a answer, used int, err error) {
	end := bytes.Index(b[:min(len(b), maxLine)], []byte("\r\n"))
	if end < 0 {
		if len(b) >= maxLine || bytes.IndexByte(b, '\n') >= 0 {
			return a, 0, errLine
		}
		return a, 0, nil
	}
	words := strings.Split(string(b[:end]), " ")
	if len(words) != 4 || words[0] == "" {
		return a, 0, errLine
	}
	code, known := codes[words[1]]
	length, err := strconv.ParseUint(words[3], 10, 31)
	if !known || err != nil || length > maxBody {
		return a, 0, errLine
	}
	whole := end + 2 + int(length) + 2
	if len(b) < whole {
		return a, 0, nil
	}
	if !bytes.Equal(b[whole-2:whole], []byte("\r\n")) {
		return a, 0, errLine
	}
	a.id, a.end.Code = words[0], code
	if err := a.fields(words[2]); err != nil {
		return answer{}, 0, err
	}
	if words[1] == "current" {
		a.end.Answer.Kind = gateway.NotModified
	}
	a.end.Answer.Body = bytes.Clone(b[end+2 : whole-2])
	return a, whole, nil
}

// fields reads name=value,name=value; names that are not known are passed over.
// fits tells whether an answer can be one to a request that passed on a tag, or none:
// only the copy that was asked about can be current, and only the client that asked
// may be told so.
func (a *answer) fits(tag string) bool {
	return a.end.Answer.Kind != gateway.NotModified || tag != "" && (a.end.Answer.Tag == "" || a.end.Answer.Tag == tag)
}

func (a *answer) fields(text string) error {
	if text == "-" {
		return nil
	}
	for _, f := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(f, "=")
		if !ok {
			return errLine
		}
		switch name {
		case "why":
			for i, n := range notes {
				if n == value {
					a.end.Note = rules.Note(i)
				}
			}
		case "slow":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms < 1e9) {
				return errLine
			}
			a.end.SourceWait = gateway.Micros(ms * 1000)
		case "t0":
			ms, err := strconv.ParseInt(value, 10, 50)
			if err != nil || ms < 0 {
				return errLine
			}
			a.end.Answer.CreatedAt = ms * 1000
		case "sum":
			if !gateway.IsName(value) {
				return errLine
			}
			a.end.Answer.Tag = value
		}
	}
	return nil
}

// appendServe writes the command that sends an attempt at the moment now.
func appendServe(dst []byte, a *gateway.Attempt, lane string, now, maxAge gateway.Micros) []byte {
	c := a.Call
	dst = append(dst, "serve "...)
	dst = append(dst, c.ID...)
	dst = append(dst, " lane="...)
	dst = append(dst, lane...)
	dst = append(dst, ",name="...)
	dst = append(dst, c.Object...)
	number := func(name string, n int64) {
		dst = append(dst, name...)
		dst = strconv.AppendInt(dst, n, 10)
	}
	if c.HasPart {
		number(",piece=", int64(c.Part))
	}
	number(",ttl=", max(1, (a.Deadline-now)/1000))
	if c.Token != "" {
		dst = append(dst, ",dedupe="...)
		dst = append(dst, c.Token...)
	}
	if a.Source != nil {
		dst = append(dst, ",next="...)
		dst = append(dst, a.Source.Name...)
	}
	if a.KeepRank > 0 {
		number(",admit=", int64(a.KeepRank))
	}
	if maxAge > 0 {
		number(",agelim=", max(1, maxAge/1000))
	}
	sep := ",ways="
	for _, way := range []struct {
		set  bool
		word string
	}{{a.Join, "ride"}, {a.HeldOnly, "have-only"}, {a.PassThrough, "through"}, {a.Revalidate, "update"}} {
		if way.set {
			dst = append(dst, sep...)
			dst = append(dst, way.word...)
			sep = "+"
		}
	}
	if c.Tag != "" {
		dst = append(dst, ",cached="...)
		dst = append(dst, c.Tag...)
	}
	number(" ", int64(len(c.Body)))
	dst = append(dst, "\r\n"...)
	dst = append(dst, c.Body...)
	return append(dst, "\r\n"...)
}

func appendCancel(dst []byte, id string) []byte {
	dst = append(dst, "cancel "...)
	dst = append(dst, id...)
	return append(dst, "\r\n"...)
}
