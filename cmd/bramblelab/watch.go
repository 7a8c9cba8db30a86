package main

import (
	"fmt"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"
	"github.com/spf13/cobra"

	"bramblefall/internal/model"
)

// watchCommand plays a scenario in the terminal, slice by slice of virtual time.
func watchCommand() *cobra.Command {
	o := &common{}
	speed := 10.0
	c := &cobra.Command{Use: "watch NAME|FILE", Args: cobra.ExactArgs(1), Short: "Watch a scenario in the terminal; q ends, space stops and goes on",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.scenario(args[0])
			if err != nil {
				return err
			}
			v := &view{w: model.New(s, o.seed, model.Own(), true), s: s, speed: speed}
			_, err = tea.NewProgram(v, tea.WithContext(c.Context())).Run()
			return err
		}}
	o.flags(c, false)
	c.Flags().Float64Var(&speed, "speed", speed, "virtual seconds for each real one")
	return c
}

type view struct {
	w     *model.World
	s     model.Scenario
	speed float64
	at    float64 // virtual seconds played
	still bool
	last  model.Result
	lines []string
}

type frame struct{}

const frameEvery = 200 * time.Millisecond

func next() tea.Cmd { return tea.Tick(frameEvery, func(time.Time) tea.Msg { return frame{} }) }

func (v *view) Init() tea.Cmd { return next() }

func (v *view) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch m := msg.(type) {
	case tea.KeyPressMsg:
		switch m.String() {
		case "q", "ctrl+c", "esc":
			return v, tea.Quit
		case "space", " ":
			v.still = !v.still
		}
	case frame:
		if !v.still && v.at < v.s.Seconds {
			v.at = min(v.at+v.speed*frameEvery.Seconds(), v.s.Seconds)
			v.step()
		}
		return v, next()
	}
	return v, nil
}

func (v *view) step() {
	r := v.w.Play(v.at)
	served, refused, asked := r.Served-v.last.Served, r.Refused-v.last.Refused, r.Requests-v.last.Requests
	v.lines = append(v.lines, fmt.Sprintf("%6.1f s  asked %5d  served %5d  refused %5d  %s", v.at, asked, served, refused,
		strings.Repeat("#", min(40, served/max(1, asked/20+1)))))
	v.lines = v.lines[max(0, len(v.lines)-16):]
	v.last = r
}

func (v *view) View() tea.View {
	r := v.last
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d limiters, %d nodes, %d firms\n\n%s\n\n", v.s.Name, v.s.Limiters, v.s.Nodes, v.s.Firms.Count, strings.Join(v.lines, "\n"))
	fmt.Fprintf(&b, "worth %.3f   beyond quotas %.2f%%   counter calls each %.2f   p99 %.2f s   broken rules %d\n", r.Worth(), 100*r.OverQuota(),
		r.CallsEach(), r.P99, r.Broken)
	for _, n := range v.w.Nodes() {
		fmt.Fprintf(&b, "%s", mark(n))
	}
	b.WriteString("\n\nnodes by work over cores: . idle, o busy, O full, - draining, x down      q ends, space stops\n")
	return tea.NewView(b.String())
}

func mark(n model.NodeView) string {
	switch {
	case !n.Up:
		return "x"
	case n.Draining:
		return "-"
	case n.Busy >= 1.5:
		return "O"
	case n.Busy >= 0.7:
		return "o"
	}
	return "."
}
