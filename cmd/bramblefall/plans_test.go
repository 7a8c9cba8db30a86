package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// runCLI runs the real program with these arguments, usually a sub-command, and checks its exit code. If that is not 0, standard
// error must have exactly one line besides the log.
func runCLI(t *testing.T, wantCode int, args ...string) (stdout, stderr string) {
	t.Helper()
	trackSources()
	cmd := exec.Command(binary, args...)
	var o, e strings.Builder
	cmd.Stdout, cmd.Stderr = &o, &e
	err := cmd.Run()
	code := 0
	var ended *exec.ExitError
	if errors.As(err, &ended) {
		code = ended.ExitCode()
	}
	require.Equal(t, wantCode, code, "%v: %s%s", args, o.String(), e.String())
	if wantCode != 0 {
		stderr := regexp.MustCompile(`(?m)^time=.*\n`).ReplaceAllString(e.String(), "") // without log lines
		require.Regexp(t, `^bramblefall: .*\n$`, stderr, "standard error must have one line besides the log")
	}
	return o.String(), e.String()
}

func writeScript(t *testing.T, path, text string) string {
	t.Helper()
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// startWithAdmin starts a limiter with an admin socket and a state directory; more is appended to the arguments in its operators'
// file.
func startWithAdmin(t *testing.T, dir, more string) (l *limiter, socket, file string) {
	socket = filepath.Join(dir, "admin.sock")
	file = writeScript(t, filepath.Join(dir, "operator.star"), fmt.Sprintf("bramblefall(admin = admin(socket = %q), state_dir = %q, %s)\n", socket, filepath.Join(dir, "state"), more))
	return start(t, fixture{operatorFile: file, servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}}), socket, file
}

func planScript(number int, effective, regularTier string) string {
	return fmt.Sprintf(`bramblefall(plans = [plan(number = %d, %s note = "n%d", tiers = [
  tier(name = "regular", %s),
  tier(name = "full", rate = 5, burst = 10, ceiling_rate = 10, ceiling_burst = 20, ceiling_slack = 2),
])])
`, number, effective, number, regularTier)
}

func TestPlansAreAppliedListedAndSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	l, socket, _ := startWithAdmin(t, dir, "")
	info, err := os.Stat(socket)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	c := l.dial()
	require.Equal(t, "v", c.do(askArgs("r1")...))

	first := writeScript(t, filepath.Join(dir, "1.star"), planScript(1, "", "rate = 100, burst = 50"))
	out, _ := runCLI(t, 0, "plans", "apply", first, "--dry-run", "--socket", socket)
	require.Contains(t, out, "regular")
	require.Contains(t, out, "1000->100")
	out, _ = runCLI(t, 0, "plans", "list", "--socket", socket, "--output", "json")
	var list []map[string]any
	require.NoError(t, json.Unmarshal([]byte(out), &list))
	require.Equal(t, "0", list[0]["number"], "a dry run changes nothing")

	runCLI(t, 0, "plans", "apply", first, "--socket", socket)
	runCLI(t, 0, "plans", "apply", first, "--socket", socket) // applying the same file again is accepted
	later := writeScript(t, filepath.Join(dir, "2.star"), planScript(2, `effective = time("2099-01-01T00:00:00Z"),`, "rate = 200, burst = 50"))
	runCLI(t, 0, "plans", "apply", later, "--socket", socket)
	out, _ = runCLI(t, 0, "plans", "list", "--socket", socket)
	require.Regexp(t, `1 +in force.*n1`, out)
	require.Regexp(t, `2 +to come +2099`, out)
	out, _ = runCLI(t, 0, "plans", "show", "--socket", socket)
	require.Regexp(t, `regular +100 +50`, out)
	_, stderr := runCLI(t, 2, "plans", "apply", writeScript(t, filepath.Join(dir, "3.star"), planScript(1, "", "rate = 7, burst = 50")), "--socket", socket)
	require.Contains(t, stderr, "number: 1 is another version's already")
	_, stderr = runCLI(t, 2, "plans", "apply", writeScript(t, filepath.Join(dir, "4.star"), `bramblefall(plans = [plan(number = 9, tiers = [tier(name = "full", rate = 5, burst = 10)])])`), "--socket", socket)
	require.Contains(t, stderr, "tiers[regular]: removed while 1 firms use it")
	_, stderr = runCLI(t, 2, "plans", "apply", writeScript(t, filepath.Join(dir, "5.star"), planScript(10, `effective = time("2020-01-01T00:00:00Z"),`, "rate = 7, burst = 50")), "--socket", socket)
	require.Contains(t, stderr, "in the past")
	runCLI(t, 0, "reserve", "grant", "--id", "coffee", "--firm", firm, "--units", "40", "--start", "2026-01-01T00:00:00Z", "--end", "2099-01-01T00:00:00Z", "--socket", socket)
	_, stderr = runCLI(t, 2, "reserve", "grant", "--id", "coffee", "--firm", firm, "--units", "41", "--end", "2099-01-01T00:00:00Z", "--socket", socket)
	require.Contains(t, stderr, "granted with other content")
	runCLI(t, 1, "plans", "list", "--socket", filepath.Join(dir, "none.sock"))
	runCLI(t, 2, "plans", "list", "--no-such-flag")

	l.terminate()
	await(t, l.exited, "the limiter's end")
	_, socket, _ = startWithAdmin(t, dir, "")
	out, _ = runCLI(t, 0, "plans", "list", "--socket", socket)
	require.Regexp(t, `1 +in force.*n1`, out)
	require.Regexp(t, `2 +to come +2099`, out)
	out, _ = runCLI(t, 0, "reserve", "list", "--socket", socket)
	require.Regexp(t, `coffee +b4d65521 +in use +40`, out)
	runCLI(t, 0, "plans", "withdraw", "2", "--socket", socket)
	out, _ = runCLI(t, 0, "plans", "history", "--socket", socket)
	require.Regexp(t, `2 +withdrawn`, out)
	runCLI(t, 0, "reserve", "revoke", "coffee", "--socket", socket)
	out, _ = runCLI(t, 0, "reserve", "list", "--socket", socket)
	require.Regexp(t, `coffee +b4d65521 +revoked`, out)
}

// An operators' file with more past versions than the book remembers brought back one that had ended long ago: with SIGHUP, and
// with a restart.
func TestFileReadAgainBringsNoEndedVersionBack(t *testing.T) {
	const versions = 40
	dir := t.TempDir()
	tiers := `tier(name = "regular", rate = 100 + n, burst = 50), tier(name = "full", rate = 5, burst = 10)`
	effective := `time("2026-01-01T00:" + ("0" + str(n))[-2:] + ":00Z")`
	list := fmt.Sprintf("plans = [plan(number = n, effective = %s, tiers = [%s]) for n in range(1, %d)]", effective, tiers, versions+1)
	l, socket, file := startWithAdmin(t, dir, list)
	inForce := func() string {
		out, _ := runCLI(t, 0, "plans", "list", "--socket", socket)
		return out
	}
	require.Regexp(t, `40 +in force`, inForce())
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	l.reloadOperatorFile(file, string(text), configReloaded)
	require.Regexp(t, `40 +in force`, inForce())
	l.terminate()
	await(t, l.exited, "the limiter's end")
	_, socket, _ = startWithAdmin(t, dir, list)
	require.Regexp(t, `40 +in force`, inForce())
}

func TestDamagedStateFileIsSetAsideAndLogged(t *testing.T) {
	for name, damage := range map[string]func([]byte) []byte{
		"a flipped bit": func(b []byte) []byte { b[len(b)/2] ^= 4; return b },
		"cut":           func(b []byte) []byte { return b[:len(b)-7] },
		"empty":         func([]byte) []byte { return nil },
		"noise":         func([]byte) []byte { return []byte("\x00\xff\n{}") },
	} {
		dir := t.TempDir()
		l, socket, _ := startWithAdmin(t, dir, "")
		runCLI(t, 0, "plans", "apply", writeScript(t, filepath.Join(dir, "1.star"), planScript(1, "", "rate = 100, burst = 50")), "--socket", socket)
		l.terminate()
		await(t, l.exited, "the limiter's end")
		path := filepath.Join(dir, "state", "plans.state")
		raw, err := os.ReadFile(path)
		require.NoError(t, err, name)
		damaged := damage(raw)
		require.NoError(t, os.WriteFile(path, damaged, 0o600))
		l, socket, _ = startWithAdmin(t, dir, "")
		require.Contains(t, l.log.String(), "set aside as plans.state.damaged-", name)
		out, _ := runCLI(t, 0, "plans", "list", "--socket", socket)
		require.Regexp(t, `0 +in force +- +platform`, out, name)
		aside, err := filepath.Glob(path + ".damaged-*")
		require.NoError(t, err)
		require.Len(t, aside, 1, name)
		kept, err := os.ReadFile(aside[0])
		require.NoError(t, err)
		require.Equal(t, len(damaged), len(kept), name)
	}
}

func TestForbiddenScriptFailsWithOneLine(t *testing.T) {
	dir := t.TempDir()
	for text, want := range map[string]string{
		"x = [0] * 1000000000\nbramblefall()\n":                                                    "memory",
		"x = 'ab' * 500000000\ny = x + x\nbramblefall()\n":                                         "memory",
		"def f():\n  for i in range(1 << 50): pass\nf()\n":                                         "bad.star:2: takes more than",
		"bramblefall(plans = [plan(number = 1, tiers = [tier(name = 'a', rate = float('nan'))])])": "plans[0].tiers[0].rate",
		"bramblefall(plans = [plan(number = 1, tiers = [tier(name = 'a', rate = -4)])])":           "plans[0].tiers[0].rate",
	} {
		bad := writeScript(t, filepath.Join(dir, "bad.star"), text)
		_, stderr := runCLI(t, 2, "check", bad)
		require.Contains(t, stderr, want)
		_, stderr = runCLI(t, 2, "-config", "../../docs/example-config.json", "-operator", bad)
		require.Contains(t, stderr, want)
	}
	runCLI(t, 0, "check", "../../deploy/bramblefall.star")
	runCLI(t, 1, "check", filepath.Join(dir, "none.star"))
	out, _ := runCLI(t, 0, "check", "../../deploy/bramblefall.star", "--output", "json")
	var checked map[string]any
	require.NoError(t, json.Unmarshal([]byte(out), &checked))
	limits, ok := checked["limits"].(map[string]any)
	require.True(t, ok, "limits is not an object: %s", out)
	require.Equal(t, []string{"FleetRate", "Late", "MostUnits", "ReservedShare"}, slices.Sorted(maps.Keys(limits)), "the keys of limits that others read")
	out, _ = runCLI(t, 0, "version")
	require.Contains(t, out, "bramblefall")
}

// A small script must not fail because of the memory that the C library reserves for the threads of the evaluation process. Large
// stacks show this failure within sixty runs; with small ones it occurs once in hundreds.
func TestEvaluatorThreadStacksDoNotCountAgainstScript(t *testing.T) {
	trackSources()
	for range 60 {
		out, err := exec.Command("sh", "-c", `ulimit -s 65536; exec "$0" check ../../deploy/bramblefall.star`, binary).CombinedOutput()
		require.NoError(t, err, "%s", out)
	}
}

// SIGHUP reloads the operators' file: a valid one changes the plans in effect, an invalid one changes nothing.
func TestSIGHUPReloadsPlans(t *testing.T) {
	dir := t.TempDir()
	l, socket, file := startWithAdmin(t, dir, "")
	config, err := os.ReadFile(l.path)
	require.NoError(t, err)
	good := fmt.Sprintf("bramblefall(admin = admin(socket = %q), state_dir = %q, plans = [plan(number = 5, tiers = [tier(name = 'regular', rate = 9, burst = 9), tier(name = 'full', rate = 1, burst = 2)])])\n", socket, filepath.Join(dir, "state"))
	writeScript(t, file, good)
	l.reload(config, `from="the operators' file" version=5`)
	writeScript(t, file, strings.Replace(good, "rate = 9", "rate = 'nine'", 1))
	l.reload(config, "the new operators' file cannot be used")
	out, _ := runCLI(t, 0, "plans", "show", "--socket", socket)
	require.Regexp(t, `regular +9 +9`, out)

	var cfg object
	require.NoError(t, json.Unmarshal(config, &cfg))
	writeScript(t, file, good)
	cfg["settings"].(object)["tariffs"] = []object{plan("regular", 3, 30, 0), plan("full", 0.5, 2, 0)}
	raw, err := json.Marshal(cfg)
	require.NoError(t, err)
	l.reload(raw, `from="the platform's tiers" version=0`)
	out, _ = runCLI(t, 0, "plans", "show", "--socket", socket)
	require.Regexp(t, `regular +3 +30`, out)
	cfg["settings"].(object)["tariffs"] = []object{plan("regular", 3, 0.1, 0)}
	raw, err = json.Marshal(cfg)
	require.NoError(t, err)
	l.reload(raw, "plans cannot be used")
	out, _ = runCLI(t, 0, "plans", "show", "--socket", socket)
	require.Regexp(t, `regular +3 +30`, out)
}

// A plan is lowered during a firm's burst. Waiting requests that can no longer pass are rejected at once, and no request goes
// unanswered.
func TestPlanLoweredDuringBurstLosesNoRequest(t *testing.T) {
	const all, burst = 60, 20
	dir := t.TempDir()
	set := settings()
	set["tariffs"] = []object{plan("regular", 20, burst, 0), plan("full", 0.01, 60, 0)}
	file := writeScript(t, filepath.Join(dir, "o.star"), "bramblefall()\n")
	l := start(t, fixture{operatorFile: file, settings: set, servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}})
	config, err := os.ReadFile(l.path)
	require.NoError(t, err)
	c := l.dial()
	for k := range all {
		c.write(encodeCommand(askArgs(fmt.Sprintf("r%d", k))...))
	}
	for k := range burst { // all have been sent before the plan changes
		require.Equal(t, "v", c.readReply(), "request %d is within the burst", k)
	}
	writeScript(t, file, `bramblefall(plans = [plan(number = 1, tiers = [tier(name = "regular", rate = 0.1, burst = 1), tier(name = "full", rate = 1, burst = 2)])])`)
	l.reload(config, "version=1")
	served, refused := burst, 0
	for range all - burst {
		switch a := c.readReply(); {
		case a == "v":
			served++
		case strings.HasPrefix(a, "-BUSY "):
			refused++
		default:
			require.Fail(t, a)
		}
	}
	require.Equal(t, all, served+refused)
	require.Less(t, served, all)
}

// Calls to the admin service that break off in the middle, and noise on its socket, affect neither clients nor other callers. A
// second process must not take over the socket.
func TestAdminSocketToleratesBrokenCalls(t *testing.T) {
	dir := t.TempDir()
	l, socket, _ := startWithAdmin(t, dir, "")
	preface := "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	for n := range 40 {
		conn, err := net.Dial("unix", socket)
		require.NoError(t, err)
		text := preface + strings.Repeat("\x00\x00\x04\x01\x00\x00\x00\x00\x01", 1+n) + "\xff\xfe\xfd"
		_, _ = conn.Write([]byte(text[:min(len(text), 1+7*n)]))
		_ = conn.Close()
	}
	out, _ := runCLI(t, 0, "plans", "list", "--socket", socket)
	require.Contains(t, out, "in force")
	require.Equal(t, "v", l.dial().do(askArgs("r1")...))
	_, stderr := runCLI(t, 1, "-config", l.path, "-operator", filepath.Join(dir, "operator.star"))
	require.Contains(t, stderr, "another process serves it")
}

// Without an operators' file the limiter listens for clients only and starts no other process.
func TestOperatorFeaturesAreOffByDefault(t *testing.T) {
	l := start(t, fixture{servers: []*server{newServer(t, "s-1", "hall-a", replyValue("v"))}})
	require.Equal(t, "v", l.dial().do(askArgs("r1")...))
	require.Empty(t, l.grpcAddr)
	require.NotContains(t, l.log.String(), "serving operators")
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", l.cmd.Process.Pid))
	require.NoError(t, err)
	for _, d := range list {
		to, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", l.cmd.Process.Pid, d.Name()))
		require.False(t, strings.HasPrefix(to, "/tmp") || strings.HasPrefix(to, "/var"), to)
	}
	children, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/children", l.cmd.Process.Pid, l.cmd.Process.Pid))
	if err == nil {
		require.Empty(t, strings.TrimSpace(string(children)))
	}
	require.NoError(t, l.cmd.Process.Signal(syscall.SIGTERM))
	await(t, l.exited, "the limiter's end")
	require.Equal(t, 0, l.cmd.ProcessState.ExitCode())
}
