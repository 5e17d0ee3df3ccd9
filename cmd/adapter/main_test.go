package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"cherryramp/internal/wire"
	"cherryramp/rules"
)

func record(code byte, gateway uint16, fields ...any) []byte {
	b := binary.BigEndian.AppendUint16([]byte{code}, gateway)
	for _, f := range fields {
		b, _ = binary.Append(b, binary.BigEndian, f)
	}
	return b
}

func frame(clock uint64, number uint32, records ...[]byte) []byte {
	var body []byte
	for _, r := range records {
		body = append(body, r...)
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(20+len(body)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(records)))
	b = binary.BigEndian.AppendUint64(b, clock)
	return append(binary.BigEndian.AppendUint32(b, number), body...)
}

func start(gateway uint16, facts string) []byte {
	return append(record(24, gateway, uint64(1), uint32(len(facts))), facts...)
}

const facts = "grades.count=1\n" +
	"grades.0.goal-time-us=500000\ngrades.0.give-up-us=3000000\nlimits.max-attempts=3\n"

func request(gateway uint16, id uint32) []byte {
	return record(21, gateway, id, uint8(0), uint32(0), uint64(5), uint32(1000000),
		float32(0), float32(0), float32(0), uint8(0))
}

func TestRun(t *testing.T) {
	// Gateway 1 starts without members and refuses. Gateway 2 is not running. A
	// restart within one batch gives a new router.
	in := append(frame(1, 1), frame(2, 2, start(1, facts), request(1, 7), request(2, 8))...)
	in = append(in, frame(3, 3, record(16, 1), start(1, facts), request(1, 9))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	var want []byte
	for i, id := range []uint32{0, 7, 9} {
		var r wire.Reply
		r.Reset(uint32(i + 1))
		if id > 0 {
			r.Add(1, rules.Refuse{ID: rules.RequestID(id)})
		}
		want = append(want, r.Bytes()...)
	}
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
}

func TestRunStopsOnBadInput(t *testing.T) {
	for _, tt := range []struct {
		in   []byte
		want string
	}{
		{frame(1, 1)[:11], "header is truncated"},
		{frame(1, 4, record(99, 1)), "batch 4, record 0 (code 99) at byte 20: unknown code"},
		{frame(1, 5, start(3, "balancers=x")), "batch 5: gateway 3: settings: balancers=x"},
		{frame(1, 6, start(3, "balancers=1")), "batch 6: gateway 3: settings: Classes is empty"},
	} {
		err := run(bytes.NewReader(tt.in), new(bytes.Buffer))
		if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v, want one line with %q", err, tt.want)
		}
	}
}

func TestPanicIsReported(t *testing.T) {
	var reply wire.Reply
	reply.Reset(1)
	step(4, nil, 1, []rules.Event{rules.Expired{}}, &reply) // a nil router panics
	if got := reply.Bytes(); got[12] != 91 || !bytes.Contains(got, []byte("panic: ")) {
		t.Errorf("got %x", got)
	}
}
