// Package evaluate runs the operators' Starlark files and checks the result, first against the published JSON Schema, then
// against the rules of the plan book. Only the program bramblefall-eval links it, not the limiter.
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

// Constructors are the constructors that a file may call beside the root, bramblefall.
var Constructors = []string{"ratelimit", "others", "admin", "limits", "tier", "firm", "plan", "reservation", "counter"}

// document is the file in the form of the schema: instants in seconds of Unix time, firms in hex.
type document struct {
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

// File evaluates a script in this process and checks its result. operator.Read runs it in a separate process.
func File(path string, source []byte) (operator.File, error) {
	name := filepath.Base(path)
	result, err := script.Run(name, source, "bramblefall", Constructors...)
	if err != nil {
		return operator.File{}, operator.Errors{err.Error()}
	}
	if all := validateSchema(name, result); len(all) > 0 {
		return operator.File{}, all
	}
	raw, err := json.Marshal(result.Value)
	if err != nil {
		return operator.File{}, err
	}
	var f document
	if err := json.Unmarshal(raw, &f); err != nil {
		return operator.File{}, operator.Errors{fmt.Sprintf("%s: %v", name, err)}
	}
	file := f.file(path)
	if all := checkRules(file, name, result); len(all) > 0 {
		return operator.File{}, all
	}
	return file, nil
}

// validateSchema returns the violations of the JSON Schema, each with its line.
func validateSchema(name string, result script.Result) (all operator.Errors) {
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
	if err := compiled.Validate(result.Value); errors.As(err, &bad) {
		visitLeaves(bad, func(e *jsonschema.ValidationError) {
			path := fieldPath(e.InstanceLocation)
			text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
			all = append(all, (&script.Error{File: name, Line: result.Line(path), Text: fieldPrefix(path) + text}).Error())
		})
	}
	return all
}

// visitLeaves calls visit for each innermost cause of a validation error.
func visitLeaves(e *jsonschema.ValidationError, visit func(*jsonschema.ValidationError)) {
	if len(e.Causes) == 0 {
		visit(e)
	}
	for _, cause := range e.Causes {
		visitLeaves(cause, visit)
	}
}

func fieldPrefix(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}

// fieldPath formats a JSON location as plans[0].tiers[2].rate.
func fieldPath(place []string) string {
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

// file converts the document. It resolves relative paths against the directory of the operators' file.
func (f document) file(path string) operator.File {
	out := operator.File{RateLimit: f.RateLimit, Admin: f.Admin, StateDir: f.StateDir, Counters: f.Counters, Limits: plans.DefaultLimits}
	resolve := func(file *string) {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(filepath.Dir(path), *file)
		}
	}
	if out.RateLimit != nil && out.RateLimit.Others != nil {
		resolve(&out.RateLimit.Others.Clusters)
		resolve(&out.RateLimit.Others.Endpoints)
	}
	if resolve(&out.StateDir); out.Admin != nil {
		resolve(&out.Admin.Socket)
	}
	if f.Limits.Late != nil {
		out.Limits.MaxPastEffective = fromSeconds(*f.Limits.Late)
	}
	out.Limits.FleetRate = f.Limits.FleetRate
	if f.Limits.ReservedShare > 0 {
		out.Limits.ReservedShare = f.Limits.ReservedShare
	}
	for _, p := range f.Plans {
		v := plans.Version{Number: p.Number, Effective: fromSeconds(p.Effective), Note: p.Note, Author: p.Author, Source: plans.File, Tiers: p.Tiers}
		for _, x := range p.Firms {
			v.Firms = append(v.Firms, plans.Firm{Firm: parseFirm(x.Firm), Tier: x.Tier, Own: x.Own})
		}
		out.Plans = append(out.Plans, v)
	}
	for _, r := range f.Reservations {
		out.Reservations = append(out.Reservations, plans.Reservation{ID: r.ID, Firm: parseFirm(r.Firm), Units: r.Units, Rate: r.Rate,
			From: fromSeconds(r.Start), Until: fromSeconds(r.End), Note: r.Note, Source: plans.File})
	}
	return out
}

func fromSeconds(s float64) time.Duration { return time.Duration(math.Round(s*1e6)) * time.Microsecond }

func parseFirm(hex string) uint64 {
	n, _ := strconv.ParseUint(hex, 16, 64) // the schema has checked that it is a hex number
	return n
}

var hostPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?$`)

// addressProblem describes what is wrong with a counter's address, or returns "". It accepts one spelling of each address, so
// that a duplicate in another spelling is found.
func addressProblem(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Sprintf("%q is not like 10.0.0.1:7000", address)
	}
	if ip, err := netip.ParseAddr(host); err == nil && ip.String() != host {
		return fmt.Sprintf("%q is not in canonical form, want %q", host, ip)
	} else if err != nil && !hostPattern.MatchString(host) {
		return fmt.Sprintf("%q is not a host name or IP address", host)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || strconv.FormatUint(n, 10) != port {
		return fmt.Sprintf("%q is not a port from 1 to 65535", port)
	}
	return ""
}

// checkRules checks counters, plans and reservations against the rules that the schema cannot express. Each problem has its line.
func checkRules(f operator.File, name string, result script.Result) (all operator.Errors) {
	report := func(err error) {
		var list plans.Problems
		if errors.As(err, &list) {
			for _, p := range list {
				all = append(all, (&script.Error{File: name, Line: result.Line(p.Field), Text: p.Field + ": " + p.Text}).Error())
			}
		}
	}
	indexByAddress := map[string]int{}
	for k, c := range f.Counters {
		problem := addressProblem(c.Address)
		if first, twice := indexByAddress[c.Address]; twice && problem == "" {
			problem = fmt.Sprintf("%q is already the address of counters[%d]", c.Address, first)
		} else if !twice {
			indexByAddress[c.Address] = k
		}
		if problem != "" {
			report(plans.Problems{{Field: fmt.Sprintf("counters[%d].address", k), Text: problem}})
		}
	}
	book := plans.New(nil, f.Limits)
	numbers := map[uint64]int{}
	for k, v := range f.Plans {
		if first, twice := numbers[v.Number]; twice {
			report(plans.Problems{{Field: fmt.Sprintf("plans[%d].number", k), Text: fmt.Sprintf("%d is already the number of plans[%d]", v.Number, first)}})
			continue
		}
		numbers[v.Number] = k
	}
	if len(all) == 0 {
		report(book.Replace(plans.File, f.Plans, f.Reservations, 0, nil))
	}
	return all
}
