package main

import (
	"fmt"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"
	"github.com/spf13/cobra"

	"bramblefall/internal/model"
)

// watchCommand runs a scenario in the model, in steps of virtual time, and shows its progress in the terminal.
func watchCommand() *cobra.Command {
	o := &commonFlags{}
	speed := 10.0
	c := &cobra.Command{Use: "watch NAME|FILE", Args: cobra.ExactArgs(1), Short: "Watch a scenario in the terminal; q quits, space pauses and resumes",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.loadScenario(args[0])
			if err != nil {
				return err
			}
			v := &view{world: model.New(s, o.seed, model.ProjectPolicy(), true), scenario: s, secondsPerSecond: speed}
			_, err = tea.NewProgram(v, tea.WithContext(c.Context())).Run()
			return err
		}}
	o.register(c, false)
	c.Flags().Float64Var(&speed, "speed", speed, "virtual seconds per real second")
	return c
}

// view is the state of the terminal program, in the terms of bubbletea its model.
type view struct {
	world            *model.World
	scenario         model.Scenario
	secondsPerSecond float64
	playedSeconds    float64 // virtual seconds that the model has run so far
	paused           bool
	last             model.Result // as of playedSeconds
	lines            []string     // one for each step, the latest 16
}

// tick is the message at which the scenario advances.
type tick struct{}

// tickInterval is the real time between two ticks.
const tickInterval = 200 * time.Millisecond

func nextTick() tea.Cmd { return tea.Tick(tickInterval, func(time.Time) tea.Msg { return tick{} }) }

func (v *view) Init() tea.Cmd { return nextTick() }

func (v *view) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch m := msg.(type) {
	case tea.KeyPressMsg:
		switch m.String() {
		case "q", "ctrl+c", "esc":
			return v, tea.Quit
		case "space", " ":
			v.paused = !v.paused
		}
	case tick:
		if !v.paused && v.playedSeconds < v.scenario.Seconds {
			v.playedSeconds = min(v.playedSeconds+v.secondsPerSecond*tickInterval.Seconds(), v.scenario.Seconds)
			v.advance()
		}
		return v, nextTick()
	}
	return v, nil
}

// advance runs the model on to playedSeconds and adds a line on what has happened since the last step.
func (v *view) advance() {
	r := v.world.RunUntil(v.playedSeconds)
	served, refused, asked := r.Served-v.last.Served, r.Refused-v.last.Refused, r.Requests-v.last.Requests
	// If all that was asked is served, the bar has 10 to 20 characters, nearly 20 from some hundred requests in a step on
	// and fewer than 10 below ten requests. It ends at 40.
	v.lines = append(v.lines, fmt.Sprintf("%6.1f s  asked %5d  served %5d  refused %5d  %s", v.playedSeconds, asked, served, refused,
		strings.Repeat("#", min(40, served/max(1, asked/20+1)))))
	v.lines = v.lines[max(0, len(v.lines)-16):]
	v.last = r
}

func (v *view) View() tea.View {
	r := v.last
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d limiters, %d nodes, %d firms\n\n%s\n\n", v.scenario.Name, v.scenario.Limiters, v.scenario.Nodes, v.scenario.Firms.Count, strings.Join(v.lines, "\n"))
	fmt.Fprintf(&b, "worth %.3f   beyond quotas %.2f%%   counter calls each %.2f   p99 %.2f s   broken rules %d\n", r.WorthShare(), 100*r.OverQuotaShare(),
		r.CallsPerRequest(), r.P99Seconds, r.ViolationCount)
	for _, n := range v.world.Nodes() {
		fmt.Fprintf(&b, "%s", nodeSymbol(n))
	}
	b.WriteString("\n\nnodes by work over cores: . idle, o busy, O full, - draining, x down      q quits, space pauses\n")
	return tea.NewView(b.String())
}

// nodeSymbol returns the character that stands for a node's state. A node is busy from 0.7 requests in work or queued
// per core, and full from 1.5.
func nodeSymbol(node model.NodeView) string {
	switch {
	case !node.Up:
		return "x"
	case node.Draining:
		return "-"
	case node.JobsPerCore >= 1.5:
		return "O"
	case node.JobsPerCore >= 0.7:
		return "o"
	}
	return "."
}
