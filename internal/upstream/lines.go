package upstream

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"cherryramp/internal/gateway"
	"cherryramp/rules"
)

// Limits of an answer, in bytes. Objects hold up to 240,000 bytes.
const (
	maxLine = 4 << 10
	maxBody = 240_000
)

var (
	errMalformed      = errors.New("upstream: answer is malformed")
	errOverflow       = errors.New("upstream: more input than an answer may hold")
	errStalled        = errors.New("upstream: answer was not complete in time")
	errUnrequestedTag = errors.New("upstream: answer is current for a tag that was not requested")
)

// answer is one answer of a cache node.
type answer struct {
	id     string
	result gateway.AttemptResult
}

// resultCodes maps the result words of answers to codes.
var resultCodes = map[string]rules.Code{"ok": rules.OK, "current": rules.OK, "nothing": rules.Miss,
	"refused": rules.Full, "error": rules.ServerError, "stale": rules.NotSent}

// notes are the values of the field why, indexed by rules.Note.
var notes = []string{"", "warm", "fill", "deep_fill", "piggy", "aged", "bounced", "dropped", "lacking",
	"jammed", "backfire"}

// parseAnswer parses an answer at the start of b and returns the bytes used: 0 while
// the answer is incomplete.
func parseAnswer(b []byte) (a answer, used int, err error) {
	end := bytes.Index(b[:min(len(b), maxLine)], []byte("\r\n"))
	if end < 0 {
		if len(b) >= maxLine || bytes.IndexByte(b, '\n') >= 0 {
			return a, 0, errMalformed
		}
		return a, 0, nil
	}
	fields := strings.Split(string(b[:end]), " ")
	if len(fields) != 4 || fields[0] == "" {
		return a, 0, errMalformed
	}
	code, known := resultCodes[fields[1]]
	length, err := strconv.ParseUint(fields[3], 10, 31)
	if !known || err != nil || length > maxBody {
		return a, 0, errMalformed
	}
	total := end + 2 + int(length) + 2
	if len(b) < total {
		return a, 0, nil
	}
	if !bytes.Equal(b[total-2:total], []byte("\r\n")) {
		return a, 0, errMalformed
	}
	a.id, a.result.Code = fields[0], code
	if err := a.parseFields(fields[2]); err != nil {
		return answer{}, 0, err
	}
	if fields[1] == "current" {
		a.result.Answer.Kind = gateway.NotModified
	}
	a.result.Answer.Body = bytes.Clone(b[end+2 : total-2])
	return a, total, nil
}

// matchesTag reports whether an answer is valid for a request with a tag, or with none if
// tag is empty: only the requested copy can be current, and only for a request with a tag.
func (a *answer) matchesTag(tag string) bool {
	return a.result.Answer.Kind != gateway.NotModified || tag != "" && (a.result.Answer.Tag == "" || a.result.Answer.Tag == tag)
}

// parseFields parses name=value,name=value and ignores unknown names.
func (a *answer) parseFields(text string) error {
	if text == "-" {
		return nil
	}
	for _, f := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(f, "=")
		if !ok {
			return errMalformed
		}
		switch name {
		case "why":
			for i, n := range notes {
				if n == value {
					a.result.Note = rules.Note(i)
				}
			}
		case "slow":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms < 1e9) {
				return errMalformed
			}
			a.result.SourceWait = gateway.Micros(ms * 1000)
		case "t0":
			ms, err := strconv.ParseInt(value, 10, 50)
			if err != nil || ms < 0 {
				return errMalformed
			}
			a.result.Answer.CreatedAt = ms * 1000
		case "sum":
			if !gateway.IsName(value) {
				return errMalformed
			}
			a.result.Answer.Tag = value
		}
	}
	return nil
}

// appendServe appends the command that sends an attempt. now is the time of sending, and
// maxAge the maximum age of the copy; 0: the class's default.
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

// appendCancel appends the command that gives up the attempt with an id.
func appendCancel(dst []byte, id string) []byte {
	dst = append(dst, "cancel "...)
	dst = append(dst, id...)
	return append(dst, "\r\n"...)
}
