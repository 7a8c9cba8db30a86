// Package state keeps the plan book in a directory, so that applied changes and reservations survive a restart. The file
// is replaced whole: written beside, synced, renamed, and the directory synced. A checksum stands before its text. A file
// that cannot be read is set aside, never overwritten.
package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"bramblefall/internal/crash"
	"bramblefall/internal/plans"
)

const (
	fileName     = "plans.state"
	beingWritten = ".new-*"
	format       = "bramblefall-plans-1"

	readLimit  = 2 * time.Second // for a file that cannot be read, at the start
	readPause  = 50 * time.Millisecond
	firstRetry = 100 * time.Millisecond // of a write that failed, doubled each time
	lastRetry  = 5 * time.Second
)

// ErrDamaged says that the file's text does not match its checksum, or cannot be read.
var ErrDamaged = errors.New("damaged")

// Dir is a state directory. One limiter owns it.
type Dir struct {
	path string

	news chan struct{} // something is to be kept

	mu      sync.Mutex
	latest  *plans.Snapshot // to be written; nil: none
	after   []func(error)   // to be told when it is
	writing bool            // a goroutine writes, or waits to try again
}

// Open makes the directory if it is not there.
func Open(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("state directory: %w", err)
	}
	d := &Dir{path: path, news: make(chan struct{}, 1)}
	d.sweep()
	return d, nil
}

// sweep removes what a kill has left of files that were being written.
func (d *Dir) sweep() {
	left, err := filepath.Glob(filepath.Join(d.path, fileName+beingWritten))
	if err != nil {
		return
	}
	for _, path := range left {
		if err := os.Remove(path); err != nil {
			slog.Warn("a file that was not written to its end stays", "err", err)
		}
	}
}

// Load reads the book that was kept. found is false where there is none. A damaged file is set aside and told of.
func (d *Dir) Load() (s plans.Snapshot, found bool, err error) {
	path := filepath.Join(d.path, fileName)
	raw, err := readAgain(path)
	if errors.Is(err, fs.ErrNotExist) {
		return s, false, nil
	}
	if err == nil {
		s, err = decode(raw)
	}
	if err == nil {
		return s, true, nil
	}
	aside := fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())
	if move := os.Rename(path, aside); move != nil {
		return s, false, fmt.Errorf("%s: %w, and cannot be set aside: %w", path, err, move)
	}
	return plans.Snapshot{}, false, fmt.Errorf("%s: %w; set aside as %s", path, err, filepath.Base(aside))
}

// readAgain reads a file, for a while also where that fails: a disk in trouble may have the plans all the same.
func readAgain(path string) (raw []byte, err error) {
	for until := time.Now().Add(readLimit); ; time.Sleep(readPause) {
		raw, err = os.ReadFile(path)
		if err == nil || errors.Is(err, fs.ErrNotExist) || time.Now().After(until) {
			return raw, err
		}
	}
}

func encode(s plans.Snapshot) ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return append(fmt.Appendf(nil, "%s %x %d\n", format, sha256.Sum256(text), len(text)), text...), nil
}

func decode(raw []byte) (s plans.Snapshot, err error) {
	head, text, ok := bytes.Cut(raw, []byte("\n"))
	if want := fmt.Sprintf("%s %x %d", format, sha256.Sum256(text), len(text)); !ok || string(head) != want {
		return s, fmt.Errorf("%w: the checksum does not match", ErrDamaged)
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return s, nil
}

// Keep writes the book in a goroutine of its own; of several that come meanwhile the last is written. It never waits.
// after, if not nil, is told when this book or a later one is on the disk, or could not be written. What could not be written is
// tried again until it is, or a later one.
func (d *Dir) Keep(s plans.Snapshot, after func(error)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latest = &s
	select {
	case d.news <- struct{}{}:
	default:
	}
	if after != nil {
		d.after = append(d.after, after)
	}
	if !d.writing {
		d.writing = true
		crash.Go(d.write)
	}
}

func (d *Dir) write() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for pause := firstRetry; d.latest != nil; {
		s, after := d.latest, d.after
		d.after = nil
		d.mu.Unlock()
		err := d.replace(*s)
		if err != nil {
			slog.Error("the plans cannot be kept, trying again", "err", err)
		}
		for _, tell := range after {
			tell(err)
		}
		if err != nil {
			d.await(pause)
			pause = min(2*pause, lastRetry)
		}
		d.mu.Lock()
		if err == nil {
			pause = firstRetry
			if d.latest == s {
				d.latest = nil
			}
		}
	}
	d.writing = false
}

// await waits before a further try, for as long as nothing else is to be kept: who asks for that is answered at once.
func (d *Dir) await(pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-d.news:
	}
}

func (d *Dir) replace(s plans.Snapshot) error {
	raw, err := encode(s)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(d.path, fileName+beingWritten)
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(f.Name(), filepath.Join(d.path, fileName))
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	dir, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
