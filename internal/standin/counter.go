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

// Counter stands in for the quota counter. Names are forgotten when their life is up.
type Counter struct {
	Addr string

	world *World
	mu    sync.Mutex
	names map[string]count
	Calls int
}

type count struct {
	total float64
	until time.Time
}

var callForm = regexp.MustCompile(`^add [!-~]{1,64} -?[0-9.]+ [0-9]+$`)

// AddCounter starts the counter.
func (w *World) AddCounter() (*Counter, error) {
	c := &Counter{world: w, names: map[string]count{}}
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
		if conn.Rest() != nil {
			return
		}
	}
}

func (c *Counter) answer(line string) string {
	if line == "ping" {
		return "pong"
	}
	if !callForm.MatchString(line) {
		c.world.Audit.Find("the counter cannot read %q", line)
		return "error"
	}
	words := strings.Fields(line)
	amount, _ := strconv.ParseFloat(words[2], 64)
	lives, _ := strconv.Atoi(words[3])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Calls++
	now := time.Now()
	n := c.names[words[1]]
	if now.After(n.until) {
		n = count{until: now.Add(time.Duration(min(lives, 60000)) * time.Millisecond)}
	}
	n.total += amount
	c.names[words[1]] = n
	return fmt.Sprintf("ok %.7g", n.total)
}

// Wipe forgets all names.
func (c *Counter) Wipe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.names)
}

// Flush forgets a part of the names.
func (c *Counter) Flush(part float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := int(part * float64(len(c.names)))
	for name := range c.names { // in a map's own order: by chance
		if left--; left < 0 {
			return
		}
		delete(c.names, name)
	}
}
