// Package evaluate runs the operators' Starlark files and checks their result: against the published JSON Schema, then
// by the plan book's own rules. It is the program bramblefall-eval's; the limiter does not link it.
package evaluate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"bramblefall/docs/schema"
	"bramblefall/internal/operator"
	"bramblefall/internal/plans"
	"bramblefall/internal/script"
	"bramblefall/logic"
)

// Parts are the constructors that a file may call.
var Parts = []string{"ratelimit", "others", "admin", "limits", "tier", "firm", "plan", "reservation", "counter"}

// form is the file as the schema has it: instants in seconds, firms in hex.
type form struct {
	RateLimit *operator.RateLimit `json:"ratelimit"`
	Admin     *operator.Admin     `json:"admin"`
	StateDir  string              `json:"state_dir"`
	Counters  []operator.Counter  `json:"counters"`
	Limits    struct {
		Late          *float64 `json:"late"`
		FleetRate     float64  `json:"fleet_rate"`
		ReservedShare float64  `json:"reserved_share"`
	} `json:"limits"`
	Plans []struct {
		Number    uint64       `json:"number"`
		Effective float64      `json:"effective"`
		Note      string       `json:"note"`
		Author    string       `json:"author"`
		Tiers     []logic.Plan `json:"tiers"`
		Firms     []struct {
			Firm string      `json:"firm"`
			Tier string      `json:"tier"`
			Own  *logic.Plan `json:"own"`
		} `json:"firms"`
	} `json:"plans"`
	Reservations []struct {
		ID    string  `json:"id"`
		Firm  string  `json:"firm"`
		Units float64 `json:"units"`
		Rate  float64 `json:"rate"`
		Start float64 `json:"start"`
		End   float64 `json:"end"`
		Note  string  `json:"note"`
	} `json:"reservations"`
}

// File runs a script here and checks its result. operator.Read does so in a process of its own.
func File(path string, source []byte) (operator.File, error) {
	name := filepath.Base(path)
	made, err := script.Run(name, source, "bramblefall", Parts...)
	if err != nil {
		return operator.File{}, operator.Errors{err.Error()}
	}
	if all := conform(name, made); len(all) > 0 {
		return operator.File{}, all
	}
	raw, err := json.Marshal(made.Value)
	if err != nil {
		return operator.File{}, err
	}
	var f form
	if err := json.Unmarshal(raw, &f); err != nil {
		return operator.File{}, operator.Errors{fmt.Sprintf("%s: %v", name, err)}
	}
	file := f.file(path)
	if all := check(file, name, made); len(all) > 0 {
		return operator.File{}, all
	}
	return file, nil
}

// conform holds a result against the schema.
func conform(name string, made script.Result) (all operator.Errors) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema.Operator))
	if err != nil {
		return operator.Errors{err.Error()}
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("bramblefall.schema.json", doc); err != nil {
		return operator.Errors{err.Error()}
	}
	compiled, err := c.Compile("bramblefall.schema.json")
	if err != nil {
		return operator.Errors{err.Error()}
	}
	var bad *jsonschema.ValidationError
	if err := compiled.Validate(made.Value); errors.As(err, &bad) {
		leaves(bad, func(e *jsonschema.ValidationError) {
			path := dotted(e.InstanceLocation)
			text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
			all = append(all, (&script.Error{File: name, Line: made.Line(path), Text: field(path) + text}).Error())
		})
	}
	return all
}

func leaves(e *jsonschema.ValidationError, tell func(*jsonschema.ValidationError)) {
	if len(e.Causes) == 0 {
		tell(e)
	}
	for _, cause := range e.Causes {
		leaves(cause, tell)
	}
}

func field(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}

// dotted writes a place as plans[0].tiers[2].rate.
func dotted(place []string) string {
	var b strings.Builder
	for _, p := range place {
		if _, err := strconv.Atoi(p); err == nil {
			b.WriteString("[" + p + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(p)
	}
	return b.String()
}

func (f form) file(path string) operator.File {
	out := operator.File{RateLimit: f.RateLimit, Admin: f.Admin, StateDir: f.StateDir, Counters: f.Counters, Limits: plans.DefaultLimits}
	beside := func(file *string) {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(filepath.Dir(path), *file)
		}
	}
	if out.RateLimit != nil && out.RateLimit.Others != nil {
		beside(&out.RateLimit.Others.Clusters)
		beside(&out.RateLimit.Others.Endpoints)
	}
	if beside(&out.StateDir); out.Admin != nil {
		beside(&out.Admin.Socket)
	}
	if f.Limits.Late != nil {
		out.Limits.Late = nanoseconds(*f.Limits.Late)
	}
	out.Limits.FleetRate = f.Limits.FleetRate
	if f.Limits.ReservedShare > 0 {
		out.Limits.ReservedShare = f.Limits.ReservedShare
	}
	for _, p := range f.Plans {
		v := plans.Version{Number: p.Number, Effective: nanoseconds(p.Effective), Note: p.Note, Author: p.Author, Source: plans.File, Tiers: p.Tiers}
		for _, x := range p.Firms {
			v.Firms = append(v.Firms, plans.Firm{Firm: number(x.Firm), Tier: x.Tier, Own: x.Own})
		}
		out.Plans = append(out.Plans, v)
	}
	for _, r := range f.Reservations {
		out.Reservations = append(out.Reservations, plans.Reservation{ID: r.ID, Firm: number(r.Firm), Units: r.Units, Rate: r.Rate,
			From: nanoseconds(r.Start), Until: nanoseconds(r.End), Note: r.Note, Source: plans.File})
	}
	return out
}

func nanoseconds(s float64) time.Duration { return time.Duration(math.Round(s*1e6)) * time.Microsecond }

func number(hex string) uint64 {
	n, _ := strconv.ParseUint(hex, 16, 64) // the schema has seen to its form
	return n
}

var hostForm = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?$`)

// addressed tells what is wrong with a counter's address. One form for each, so that none stands twice in two forms.
func addressed(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Sprintf("%q is not like 10.0.0.1:7000", address)
	}
	if ip, err := netip.ParseAddr(host); err == nil && ip.String() != host {
		return fmt.Sprintf("%q is written %q", host, ip)
	} else if err != nil && !hostForm.MatchString(host) {
		return fmt.Sprintf("%q is no host", host)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || strconv.FormatUint(n, 10) != port {
		return fmt.Sprintf("%q is no port from 1 to 65535", port)
	}
	return ""
}

// check holds the plans and reservations against the book's rules, each with its line.
func check(f operator.File, name string, made script.Result) (all operator.Errors) {
	tell := func(err error) {
		var list plans.Problems
		if errors.As(err, &list) {
			for _, p := range list {
				all = append(all, (&script.Error{File: name, Line: made.Line(p.Field), Text: p.Field + ": " + p.Text}).Error())
			}
		}
	}
	at := map[string]int{}
	for k, c := range f.Counters {
		bad := addressed(c.Address)
		if first, twice := at[c.Address]; twice && bad == "" {
			bad = fmt.Sprintf("%q is that of counters[%d], too", c.Address, first)
		} else if !twice {
			at[c.Address] = k
		}
		if bad != "" {
			tell(plans.Problems{{Field: fmt.Sprintf("counters[%d].address", k), Text: bad}})
		}
	}
	book := plans.New(nil, f.Limits)
	numbers := map[uint64]int{}
	for k, v := range f.Plans {
		if first, twice := numbers[v.Number]; twice {
			tell(plans.Problems{{Field: fmt.Sprintf("plans[%d].number", k), Text: fmt.Sprintf("%d is that of plans[%d], too", v.Number, first)}})
			continue
		}
		numbers[v.Number] = k
	}
	if len(all) == 0 {
		tell(book.Replace(plans.File, f.Plans, f.Reservations, 0, nil))
	}
	return all
}
