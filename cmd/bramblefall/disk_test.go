package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// The disk of the state directory fails for a while. Plans that took effect meanwhile are written once it works again, without a
// further change of the plans, and a kill after that loses nothing. The temporary file that an earlier kill left in the middle of
// a write is removed at the start.
func TestPlansAreSavedOnceDiskRecovers(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			socket, state := filepath.Join(dir, "admin.sock"), filepath.Join(dir, "state")
			require.NoError(t, os.Mkdir(state, 0o700))
			partial := filepath.Join(state, "plans.state.new-123")
			require.NoError(t, os.WriteFile(partial, []byte("half"), 0o600))
			var failing atomic.Bool
			f := fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))},
				operatorFile: writeScript(t, filepath.Join(dir, "operator.star"), fmt.Sprintf("bramblefall(admin = admin(socket = %q), state_dir = %q)\n", socket, state)),
				syscallErrors: func(number int32, _ uint64, _ int) syscall.Errno {
					if number == unix.SYS_FSYNC && failing.Load() {
						return errno
					}
					return 0
				}}
			l := start(t, f)
			assert.NoFileExists(t, partial)
			apply := func(wantCode, number int) string {
				_, stderr := runCLI(t, wantCode, "plans", "apply", writeScript(t, filepath.Join(dir, fmt.Sprint(number, ".star")), planScript(number, "", "rate = 100, burst = 50")), "--socket", socket)
				return stderr
			}
			failing.Store(true)
			require.Contains(t, apply(2, 1), "not kept")
			time.Sleep(300 * time.Millisecond)
			failing.Store(false)
			require.Eventually(t, func() bool {
				_, err := os.Stat(filepath.Join(state, "plans.state"))
				return err == nil
			}, testTimeout, 10*time.Millisecond, "the plans were not saved after the disk recovered")
			time.Sleep(100 * time.Millisecond) // until the directory is synced, too
			require.NoError(t, l.cmd.Process.Kill())
			await(t, l.exited, "the process to end after the kill")
			start(t, f)
			out, _ := runCLI(t, 0, "plans", "list", "--socket", socket)
			require.Regexp(t, `1 +in force.*n1`, out)
			files, err := filepath.Glob(filepath.Join(state, "*"))
			require.NoError(t, err)
			assert.Len(t, files, 1, "%q", files)
		})
	}
}
