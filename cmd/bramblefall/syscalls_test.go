package main

import (
	encoding "encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// The tests of this file let system calls of the real program fail as Linux documents. For some system calls the kernel asks the
// test about each call (seccomp's user notification, which needs no privilege), and the test lets the call proceed or names an
// error.

// syscallErrorFunc decides which calls fail: number is that of the system call, nth counts the calls with the same number and
// first argument, from 1. The call proceeds if the result is 0.
type syscallErrorFunc func(number int32, argument uint64, nth int) syscall.Errno

const (
	filterEnv = "BRAMBLEFALL_TEST_FILTER" // numbers of the system calls that the test binary has to filter before it executes the program
	filterFD  = 3                         // the descriptor over which it sends the filter's notification descriptor to the test

	notifyReceive      = 0xc0502100 // SECCOMP_IOCTL_NOTIF_RECV
	notifySend         = 0xc0182101 // SECCOMP_IOCTL_NOTIF_SEND
	notifyContinue     = 1          // SECCOMP_USER_NOTIF_FLAG_CONTINUE
	filterWaitKillable = 1 << 5     // SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV
)

// usualSyscalls are the system calls that the kernel asks about where a fixture names none; all others proceed.
var usualSyscalls = []uint32{unix.SYS_ACCEPT4, unix.SYS_CONNECT, unix.SYS_SOCKET, unix.SYS_FSYNC, pollSyscall}

// notification is the kernel's struct seccomp_notif.
type notification struct {
	ID    uint64
	PID   uint32
	Flags uint32
	Nr    int32
	Arch  uint32
	IP    uint64
	Args  [6]uint64
}

// notificationAnswer is the kernel's struct seccomp_notif_resp.
type notificationAnswer struct {
	ID    uint64
	Value int64
	Error int32
	Flags uint32
}

// execFiltered installs the filter, sends its notification descriptor to the test and executes the program that the arguments
// name. It returns only on failure.
func execFiltered() error {
	runtime.LockOSThread()
	var filteredSyscalls []uint32
	if err := json.Unmarshal([]byte(os.Getenv(filterEnv)), &filteredSyscalls); err != nil {
		return err
	}
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS}}
	for k, number := range filteredSyscalls {
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: uint8(len(filteredSyscalls) - k), K: number})
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER,
		unix.SECCOMP_FILTER_FLAG_NEW_LISTENER|filterWaitKillable, uintptr(unsafe.Pointer(&filter)))
	if errno != 0 {
		return errno
	}
	if err := unix.Sendmsg(filterFD, []byte{0}, unix.UnixRights(int(fd)), nil, 0); err != nil {
		return err
	}
	_, _ = unix.Close(filterFD), unix.Close(int(fd))
	return syscall.Exec(os.Args[1], os.Args[1:], os.Environ())
}

// filterSyscalls changes a command so that its process runs under the filter, and answers the kernel until the process or the
// test ends.
func filterSyscalls(t *testing.T, cmd *exec.Cmd, numbers []uint32, errnoFor syscallErrorFunc) {
	if numbers == nil {
		numbers = usualSyscalls
	}
	list, err := json.Marshal(numbers)
	require.NoError(t, err)
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	ours, theirs := os.NewFile(uintptr(pair[0]), "ours"), os.NewFile(uintptr(pair[1]), "theirs")
	cmd.Args = append([]string{os.Args[0], cmd.Path}, cmd.Args[1:]...)
	cmd.Path, cmd.ExtraFiles = os.Args[0], []*os.File{theirs}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, filterEnv+"="+string(list))
	t.Cleanup(func() { _, _ = ours.Close(), theirs.Close() })
	go func() {
		rights := make([]byte, unix.CmsgSpace(4))
		_, n, _, _, err := unix.Recvmsg(pair[0], make([]byte, 1), rights, unix.MSG_CMSG_CLOEXEC)
		if err != nil {
			return
		}
		messages, err := unix.ParseSocketControlMessage(rights[:n])
		if err != nil || len(messages) == 0 {
			return
		}
		fds, err := unix.ParseUnixRights(&messages[0])
		if err == nil {
			answerNotifications(fds[0], errnoFor)
		}
	}()
}

// answerNotifications answers the kernel about each filtered call until the process ends.
func answerNotifications(fd int, errnoFor syscallErrorFunc) {
	defer unix.Close(fd)
	type callSite struct {
		number   int32
		argument uint64
	}
	counts := map[callSite]int{}
	for {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		if _, err := unix.Poll(polled, -1); err != nil && !errors.Is(err, unix.EINTR) || polled[0].Revents&unix.POLLHUP != 0 {
			return
		}
		var n notification
		if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(fd), notifyReceive, uintptr(unsafe.Pointer(&n))); errno != 0 {
			continue // the call was interrupted, and is notified again if it is repeated
		}
		key := callSite{n.Nr, n.Args[0]}
		a := notificationAnswer{ID: n.ID, Flags: notifyContinue}
		if errno := errnoFor(n.Nr, n.Args[0], counts[key]+1); errno != 0 {
			a.Flags, a.Error = 0, -int32(errno)
		}
		if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(fd), notifySend, uintptr(unsafe.Pointer(&a))); errno == 0 {
			counts[key]++
		}
	}
}

// transientAcceptErrors are errors that accept(2) may return temporarily: those of the process or the system, and those of the
// connection that is accepted.
var transientAcceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH}

// An accept that fails, once or several times in a row, stops no listener: neither that of clients, nor that of gRPC callers, nor
// that of operators. A client that waits meanwhile is answered within a second.
func TestAcceptErrorsStopNoListener(t *testing.T) {
	t.Parallel()
	for _, errno := range transientAcceptErrors {
		for _, inARow := range []int{1, 5} {
			t.Run(fmt.Sprintf("%s/%d", unix.ErrnoName(errno), inARow), func(t *testing.T) {
				t.Parallel()
				dir := t.TempDir()
				socket := dir + "/admin.sock"
				f := fixture{rateLimitFile: rateLimitFile(t), servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))},
					operatorFile: writeScript(t, dir+"/operator.star", fmt.Sprintf("bramblefall(admin = admin(socket = %q))\n", socket)),
					syscallErrors: func(number int32, _ uint64, nth int) syscall.Errno {
						if number == unix.SYS_ACCEPT4 && nth <= inARow {
							return errno
						}
						return 0
					}}
				l := start(t, f)
				began := time.Now()
				assert.Equal(t, "v", l.dial().do(askArgs("01")...))
				assert.Less(t, time.Since(began), time.Second)
				answer, err := l.rateLimitClient().ShouldRateLimit(testContext(t), rateLimitRequest(firmDescriptor("1")))
				require.NoError(t, err)
				assert.Equal(t, verdictOK, answer.GetOverallCode())
				runCLI(t, 0, "plans", "list", "--socket", socket)
				assert.Equal(t, "v", l.dial().do(askArgs("02")...))
			})
		}
	}
}

// A socket or connect call that fails temporarily because the limiter's own machine is short of something keeps no request from
// its server, and ejects no server.
func TestConnectErrorsEjectNoServer(t *testing.T) {
	t.Parallel()
	for name, failure := range map[string]struct {
		number int32
		errno  syscall.Errno
	}{
		"connect EADDRNOTAVAIL": {unix.SYS_CONNECT, syscall.EADDRNOTAVAIL},
		"connect ENETUNREACH":   {unix.SYS_CONNECT, syscall.ENETUNREACH},
		"connect ENOBUFS":       {unix.SYS_CONNECT, syscall.ENOBUFS},
		"connect EAGAIN":        {unix.SYS_CONNECT, syscall.EAGAIN},
		"socket ENOBUFS":        {unix.SYS_SOCKET, syscall.ENOBUFS},
		"socket ENOMEM":         {unix.SYS_SOCKET, syscall.ENOMEM},
		"socket ENFILE":         {unix.SYS_SOCKET, syscall.ENFILE},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			failuresLeft := 0
			f := fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, syscallErrors: func(number int32, _ uint64, _ int) syscall.Errno {
				mu.Lock()
				defer mu.Unlock()
				if number != failure.number || failuresLeft == 0 {
					return 0
				}
				failuresLeft--
				return failure.errno
			}}
			f.settings = settings()
			f.settings["balancers"] = 6 // in a fleet of more than four, one failure ejects a server
			l := start(t, f)
			for round := range 3 {
				mu.Lock()
				failuresLeft = 2
				mu.Unlock()
				post := doArgs(fmt.Sprintf("0%d", round))
				post[3] = strings.Replace(post[3], "spread=1", "spread=2", 1)
				assert.Equal(t, "v", l.dial().do(post...), "round %d", round)
				time.Sleep(50 * time.Millisecond)
			}
			assert.NotContains(t, l.log.String(), "left out")
		})
	}
}

// A process starts although its first socket calls fail temporarily.
func TestSocketErrorsAtStartAreTolerated(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENFILE, syscall.ENOMEM} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			sockets := 0
			dir := t.TempDir()
			l := start(t, fixture{rateLimitFile: rateLimitFile(t), servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))},
				operatorFile: writeScript(t, dir+"/operator.star", fmt.Sprintf("bramblefall(admin = admin(socket = %q))\n", dir+"/admin.sock")),
				syscallErrors: func(number int32, _ uint64, _ int) syscall.Errno {
					mu.Lock()
					defer mu.Unlock()
					if number != unix.SYS_SOCKET {
						return 0
					}
					if sockets++; sockets%3 == 0 { // every third call succeeds
						return 0
					}
					return errno
				}})
			assert.Equal(t, "v", l.dial().do(askArgs("01")...))
		})
	}
}

// A poll that a signal interrupts (EINTR) is repeated: the poll that checks whether a client has gone, and the one that checks at
// the end of a planned restart whether a connection waits to be accepted.
func TestInterruptedPollsAreRetried(t *testing.T) {
	t.Parallel()
	interrupted := func() syscallErrorFunc {
		var polls atomic.Int64
		return func(number int32, _ uint64, _ int) syscall.Errno {
			if number == pollSyscall && polls.Add(1)%2 == 1 {
				return syscall.EINTR
			}
			return 0
		}
	}
	t.Run("client gone", func(t *testing.T) {
		t.Parallel()
		s := newServer(t, "s-1", "hall-a", replyValue("v"))
		l := start(t, fixture{servers: []*server{s}, syscallErrors: interrupted()})
		l.whileStopped(2*clientGoneGrace, func() {
			for n := range 20 {
				c := l.dial()
				c.write(encodeCommand(askArgs(fmt.Sprintf("%02x", n))...))
				require.NoError(t, c.conn.Close())
			}
			time.Sleep(2 * clientGoneGrace)
		})
		assert.Equal(t, "v", l.dial().do(askArgs("ff")...))
		time.Sleep(200 * time.Millisecond)
		assert.Len(t, s.received(), 1, "requests were sent although their clients had gone")
	})
	t.Run("connection waiting", func(t *testing.T) {
		t.Parallel()
		start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}, syscallErrors: interrupted()}).checkQueuedRequestsAnswered()
	})
}

// isConnectedTo reports whether a descriptor of a process is a TCP connection to an address.
func isConnectedTo(pid int, fd uint64, addr *net.TCPAddr) bool {
	link, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", pid, fd))
	if err != nil {
		return false
	}
	inode := strings.TrimSuffix(strings.TrimPrefix(link, "socket:["), "]")
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return false
	}
	remote := fmt.Sprintf("%08X:%04X", encoding.NativeEndian.Uint32(addr.IP.To4()), addr.Port)
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[9] == inode && fields[2] == remote {
			return true
		}
	}
	return false
}

// A connection to a server breaks after its request was written, with a reset or another error. The server may have run the
// request, so a request of a class that must never run twice is reported as failed, neither rejected nor sent again.
func TestBrokenConnectionMayHaveExecutedRequest(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			t.Parallel()
			s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
				if args[2] == "01" {
					_, _ = io.WriteString(conn, "*3\r\n") // the beginning of a reply
				} else {
					replyValue("v")(conn, args)
				}
			})
			addr, err := net.ResolveTCPAddr("tcp", s.addr)
			require.NoError(t, err)
			var pid atomic.Int64
			var broken atomic.Bool
			f := fixture{settings: changeClass(settings(), 1, object{"semantics": "single_shot"}), servers: []*server{s},
				filteredSyscalls: []uint32{unix.SYS_READ},
				syscallErrors: func(_ int32, fd uint64, _ int) syscall.Errno {
					if len(s.received()) == 1 && !broken.Load() && isConnectedTo(int(pid.Load()), fd, addr) {
						broken.Store(true)
						return errno
					}
					return 0
				}}
			l := start(t, f)
			pid.Store(int64(l.cmd.Process.Pid))
			c := l.dial()
			assert.Equal(t, "-ERR failed", c.do(doArgs("01")...))
			assert.True(t, broken.Load(), "no read of the server's connection failed, so the test proves nothing")
			assert.Len(t, s.received(), 1)
			assert.Equal(t, "v", c.do(doArgs("02")...))
		})
	}
}

// Dials to discovery fail for half a second at the start. No client is served by the old list: discovery is asked again at once,
// in a fleet of any size.
func TestFailedDialsAtStartDoNotDelayList(t *testing.T) {
	t.Parallel()
	f, draining, line := drainedServerFixture(t)
	f.settings = settings()
	f.settings["balancers"] = 80
	f.registry = newAgent(t, func(_ int, conn net.Conn) {
		_, _ = conn.Write([]byte(chunkedHeader + chunk(line)))
		waitForClose(conn)
	})
	var first atomic.Int64
	began := time.Now()
	f.syscallErrors = func(number int32, _ uint64, _ int) syscall.Errno {
		if number != unix.SYS_CONNECT {
			return 0
		}
		first.CompareAndSwap(0, int64(time.Since(began)))
		if time.Since(began)-time.Duration(first.Load()) < 500*time.Millisecond {
			return syscall.EADDRNOTAVAIL
		}
		return 0
	}
	assert.Equal(t, "new", start(t, f).dial().do(askArgs("01")...))
	assert.Empty(t, draining.received())
}
