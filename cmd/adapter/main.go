// Command adapter runs the routers of a simulator's gateways: it reads batches of events from
// standard input, steps the router of each gateway, and writes the replies to standard output.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"cherryramp/internal/config"
	"cherryramp/internal/wire"
	"cherryramp/rules"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the end of the input. It fails on a batch that can't be read or handled.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	w := bufio.NewWriterSize(out, 1<<16)
	gateways := make(map[uint16]*rules.Router)
	var frame bytes.Buffer
	var reply wire.Reply
	for {
		batch, err := wire.ReadBatch(r, &frame)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset(batch.Number)
		if err := stepBatch(batch, gateways, &reply); err != nil {
			return fmt.Errorf("batch %d: %w", batch.Number, err)
		}
		if _, err := w.Write(reply.Bytes()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// stepBatch passes each gateway its events of a batch, in the order in which they came.
func stepBatch(batch *wire.Batch, gateways map[uint16]*rules.Router, reply *wire.Reply) error {
	var order []uint16
	pending := make(map[uint16][]rules.Event)
	for _, e := range batch.Events {
		switch {
		case e.Stop:
			delete(pending, e.Gateway)
			delete(gateways, e.Gateway)
		case e.Start != nil:
			settings, err := config.ParseSettings(e.Start.Settings)
			if err != nil {
				return fmt.Errorf("gateway %d: %w", e.Gateway, err)
			}
			delete(pending, e.Gateway)
			if gateways[e.Gateway], err = rules.New(settings, e.Start.Seed); err != nil {
				return fmt.Errorf("gateway %d: %w", e.Gateway, err)
			}
		case e.Event != nil:
			if _, known := pending[e.Gateway]; !known {
				order = append(order, e.Gateway)
			}
			pending[e.Gateway] = append(pending[e.Gateway], e.Event)
		}
	}
	for _, id := range order {
		if g := gateways[id]; g != nil && len(pending[id]) > 0 {
			step(id, g, batch.Clock, pending[id], reply)
		}
		delete(pending, id)
	}
	return nil
}

// step runs the router once. A panic in it is reported to the host as it is.
func step(id uint16, g *rules.Router, now rules.Micros, events []rules.Event, reply *wire.Reply) {
	defer func() {
		if p := recover(); p != nil {
			reply.BailOut(id, fmt.Sprint("panic: ", p))
		}
	}()
	for _, a := range g.Step(now, events) {
		reply.Add(id, a)
	}
}
