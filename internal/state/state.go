// Package state stores the plan book in a directory, so that applied changes and reservations survive a restart. The file
// is replaced atomically: a temporary file is written and synced, then renamed, and the directory is synced. A header with
// a checksum precedes the JSON text. A file that cannot be read is renamed and never overwritten.
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

	readTimeout       = 2 * time.Second // how long the start retries to read a file
	readRetryInterval = 50 * time.Millisecond
	minBackoff        = 100 * time.Millisecond // before a failed write is retried; doubles with each failure
	maxBackoff        = 5 * time.Second
)

// ErrDamaged reports that the file does not match its checksum or cannot be decoded.
var ErrDamaged = errors.New("damaged")

// Dir is a state directory. It must be used by one limiter only.
type Dir struct {
	path string

	changed chan struct{} // signals a new pending snapshot, which ends the wait before a retry

	mu        sync.Mutex
	pending   *plans.Snapshot // to be written; nil if there is none
	callbacks []func(error)   // to be called with the result of the next write
	writing   bool            // whether a goroutine is writing or waiting to retry
}

// Open opens a state directory and creates it if it does not exist. Temporary files of interrupted writes are removed.
func Open(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("cannot create the state directory: %w", err)
	}
	d := &Dir{path: path, changed: make(chan struct{}, 1)}
	d.removeTempFiles()
	return d, nil
}

// removeTempFiles removes temporary files that a killed process left behind.
func (d *Dir) removeTempFiles() {
	tempFiles, err := filepath.Glob(filepath.Join(d.path, fileName+tempPattern))
	if err != nil {
		return
	}
	for _, path := range tempFiles {
		if err := os.Remove(path); err != nil {
			slog.Warn("cannot remove a temporary file of an interrupted write", "err", err)
		}
	}
}

// Load reads the saved plan book. found is false if there is none. A file that is damaged or cannot be read is renamed, and
// the error names its new name.
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

// readWithRetry reads a file and retries for readTimeout if that fails: the plans may still be readable on a failing disk.
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
		return s, fmt.Errorf("%w: the checksum does not match: header is %.100q, want %q", ErrDamaged, head, want)
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("%w: the checksum matches, but the text cannot be decoded: %w", ErrDamaged, err)
	}
	return s, nil
}

// Save writes the book in a separate goroutine and never blocks. Of several books that are passed during a write only the
// last is written. after, if not nil, is called once this book or a later one is on disk, or with the error if the write
// fails. A failed write is retried until it or the write of a later book succeeds.
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

// awaitRetry waits before a write is retried. A new book ends the wait, so that its sender is answered at once.
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
