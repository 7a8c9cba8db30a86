package standin

import (
	"bufio"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramblefall/internal/fault"
)

// Counter is a stand-in for the quota counter. It forgets a name when the name's time to live has passed.
type Counter struct {
	Addr string

	world  *World
	mu     sync.Mutex
	counts map[string]count
	Calls  int
}

type count struct {
	total   float64
	expires time.Time
}

var addCommand = regexp.MustCompile(`^add [!-~]{1,64} -?[0-9.]+ [0-9]+$`)

// AddCounter starts a stand-in for the quota counter.
func (w *World) AddCounter() (*Counter, error) {
	c := &Counter{world: w, counts: map[string]count{}}
	var err error
	c.Addr, err = w.listen(fault.Counter, c.serve)
	w.Counter = c
	return c, err
}

func (c *Counter) serve(conn *fault.Conn, _ fault.Script) {
	lines := bufio.NewReader(conn)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := conn.Send([]byte(c.answer(strings.TrimSuffix(line, "\r\n")) + "\r\n")); err != nil {
			return
		}
		if conn.RunIdleSteps() != nil {
			return
		}
	}
}

func (c *Counter) answer(line string) string {
	if line == "ping" {
		return "pong"
	}
	if !addCommand.MatchString(line) {
		c.world.Audit.Reportf("the counter received %q, want ping or add NAME AMOUNT LIVES", line)
		return "error"
	}
	words := strings.Fields(line)
	amount, _ := strconv.ParseFloat(words[2], 64)
	ttlMs, _ := strconv.Atoi(words[3])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Calls++
	now := time.Now()
	current := c.counts[words[1]]
	if now.After(current.expires) {
		current = count{expires: now.Add(time.Duration(min(ttlMs, 60000)) * time.Millisecond)}
	}
	current.total += amount
	c.counts[words[1]] = current
	return fmt.Sprintf("ok %.7g", current.total)
}

// Clear forgets all names.
func (c *Counter) Clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.counts)
}

// Flush forgets a share of the names, from 0 to 1, chosen at random.
func (c *Counter) Flush(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	toForget := int(share * float64(len(c.counts)))
	for name := range c.counts { // map iteration order picks names at random
		if toForget--; toForget < 0 {
			return
		}
		delete(c.counts, name)
	}
}
