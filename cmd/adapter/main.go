// Command adapter connects the decision module (package logic) to the simulator, whose protocol it speaks on standard input
// and output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"bramblefall/internal/wire"
	"bramblefall/logic"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run reads batches and writes a reply to each until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	gateways := map[uint32]*logic.Gateway{}
	var reply wire.Reply
	for {
		batch, err := wire.ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for k, rec := range batch.Records {
			if err := applyRecord(gateways, batch.Now, rec, &reply); err != nil {
				return fmt.Errorf("batch %d, record %d: %w", batch.Seq, k, err)
			}
		}
		if err := reply.WriteTo(w, batch.Seq); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("flush reply %d: %w", batch.Seq, err)
		}
	}
}

// applyRecord passes one record to its instance. Instances share no state: each has a decision module of its own.
func applyRecord(gateways map[uint32]*logic.Gateway, now time.Duration, rec wire.Record, reply *wire.Reply) error {
	switch ev := rec.Event.(type) {
	case wire.InstanceInit:
		s, err := wire.ParseSettings(ev.Settings)
		if err != nil {
			return fmt.Errorf("instance %d: %w", rec.Instance, err)
		}
		gateways[rec.Instance] = logic.New(s, ev.Seed)
		return nil
	case wire.InstanceStop:
		delete(gateways, rec.Instance)
		return nil
	}
	g := gateways[rec.Instance]
	if g == nil {
		return nil // events for a stopped instance are dropped
	}
	actions, err := handle(g, now, rec.Event)
	if err != nil {
		reply.Fault(rec.Instance, err.Error())
		delete(gateways, rec.Instance)
		return nil
	}
	for _, a := range actions {
		if err := reply.Add(rec.Instance, a); err != nil {
			return err
		}
	}
	return nil
}

// handle passes an event to a decision module and converts a panic to an error.
func handle(g *logic.Gateway, now time.Duration, ev logic.Event) (actions []logic.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
			fmt.Fprintf(os.Stderr, "adapter: %v\n%s", err, debug.Stack())
		}
	}()
	return g.Handle(now, ev), nil
}
