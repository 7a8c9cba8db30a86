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
	fileName    = "plans.state"
	tempPattern = ".new-*"
	format      = "bramblefall-plans-1"

	readTimeout       = 2 * time.Second // for a file that cannot be read, at the start
	readRetryInterval = 50 * time.Millisecond
	minBackoff        = 100 * time.Millisecond // of a write that failed, doubled each time
	maxBackoff        = 5 * time.Second
)

// ErrDamaged says that the file's text does not match its checksum, or cannot be read.
var ErrDamaged = errors.New("damaged")

// Dir is a state directory. One limiter owns it.
type Dir struct {
	path string

	changed chan struct{} // something is to be kept

	mu        sync.Mutex
	pending   *plans.Snapshot // to be written; nil: none
	callbacks []func(error)   // to be told when it is
	writing   bool            // a goroutine writes, or waits to try again
}

// Open makes the directory if it is not there.
func Open(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("state directory: %w", err)
	}
	d := &Dir{path: path, changed: make(chan struct{}, 1)}
	d.removeTempFiles()
	return d, nil
}

// removeTempFiles removes what a kill has left of files that were being written.
func (d *Dir) removeTempFiles() {
	tempFiles, err := filepath.Glob(filepath.Join(d.path, fileName+tempPattern))
	if err != nil {
		return
	}
	for _, path := range tempFiles {
		if err := os.Remove(path); err != nil {
			slog.Warn("a file that was not written to its end stays", "err", err)
		}
	}
}

// Load reads the book that was kept. found is false where there is none. A damaged file is set aside and told of.
func (d *Dir) Load() (s plans.Snapshot, found bool, err error) {
	path := filepath.Join(d.path, fileName)
	raw, err := readWithRetry(path)
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
	if renameErr := os.Rename(path, aside); renameErr != nil {
		return s, false, fmt.Errorf("%s: %w, and cannot be set aside: %w", path, err, renameErr)
	}
	return plans.Snapshot{}, false, fmt.Errorf("%s: %w; set aside as %s", path, err, filepath.Base(aside))
}

// readWithRetry reads a file, for a while also where that fails: a disk in trouble may have the plans all the same.
func readWithRetry(path string) (raw []byte, err error) {
	for until := time.Now().Add(readTimeout); ; time.Sleep(readRetryInterval) {
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

// Save writes the book in a goroutine of its own; of several that come meanwhile the last is written. It never waits.
// after, if not nil, is told when this book or a later one is on the disk, or could not be written. What could not be written is
// tried again until it is, or a later one.
func (d *Dir) Save(s plans.Snapshot, after func(error)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending = &s
	select {
	case d.changed <- struct{}{}:
	default:
	}
	if after != nil {
		d.callbacks = append(d.callbacks, after)
	}
	if !d.writing {
		d.writing = true
		crash.Go(d.writePending)
	}
}

func (d *Dir) writePending() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for backoff := minBackoff; d.pending != nil; {
		s, callbacks := d.pending, d.callbacks
		d.callbacks = nil
		d.mu.Unlock()
		err := d.writeFile(*s)
		if err != nil {
			slog.Error("the plans cannot be kept, trying again", "err", err)
		}
		for _, callback := range callbacks {
			callback(err)
		}
		if err != nil {
			d.awaitRetry(backoff)
			backoff = min(2*backoff, maxBackoff)
		}
		d.mu.Lock()
		if err == nil {
			backoff = minBackoff
			if d.pending == s {
				d.pending = nil
			}
		}
	}
	d.writing = false
}

// awaitRetry waits before a further try, for as long as nothing else is to be kept: who asks for that is answered at once.
func (d *Dir) awaitRetry(backoff time.Duration) {
	select {
	case <-time.After(backoff):
	case <-d.changed:
	}
}

func (d *Dir) writeFile(s plans.Snapshot) error {
	raw, err := encode(s)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(d.path, fileName+tempPattern)
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
