package measure

import (
	"bytes"
	_ "embed"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"text/template"
)

// Measurement is a run of a scenario with a system, and its figures.
type Measurement struct {
	Site     Site
	Scenario Scenario
	System   System
	Overlay  string // in the comparison of settings: the site whose settings are used, or BaseFileOnly; otherwise empty
	Figures  Figures
}

// name returns the site and the scenario of the measurement, as in "haetsal/surge".
func (m Measurement) name() string { return m.Site.Name + "/" + m.Scenario.Name }

// Report holds the measurements of both systems, ordered by site and scenario.
type Report []Measurement

// metric describes a figure of the report.
type metric struct {
	Name       string
	Unit       string
	Goal       string // empty if the design page sets none
	Definition string
	Error      string // source of error
	value      func(Figures) float64
	met        func(float64) bool // nil if the goal is not a fixed number
}

func atLeast(goal float64) func(float64) bool { return func(v float64) bool { return v >= goal } }
func atMost(goal float64) func(float64) bool  { return func(v float64) bool { return v <= goal } }

// attemptsMax is the name of the metric whose goal depends on the request, so that met cannot check it.
const attemptsMax = "attempts_per_request_max"

// metrics lists the figures of the report. The goals are those of docs/design.md.
var metrics = []metric{
	{
		Name: "goodput_ratio", Unit: "ratio", Goal: ">= 0.95", met: atLeast(0.95),
		Definition: "Complete responses that reached their callers in time, divided by the most that the slots could complete for the same arrivals, for requests sent after the fifth second. Requests that were first sent before the end of the trigger count only if they were answered by then, because callers otherwise carry demand that the slots could not serve into a time with idle slots.",
		Error:      "The best possible number assumes mean service times and slots that are never idle between two requests, and all calls inside one availability zone. A request that was sent just before the trigger's end gets the time of an idle chain to be answered; those that ran longer are left out, less than 0.5 %.",
		value:      func(f Figures) float64 { return f.Goodput },
	},
	{
		Name: "order_success", Unit: "ratio", Goal: ">= 0.999", met: atLeast(0.999),
		Definition: "Orders and commissions with a complete response, divided by those sent after the fifth second that the slots could serve if there were only orders; the scenarios below name the exceptions. Orders with a key of the caller's own that were first sent while the platform was down are left out, because no node can bind such a key.",
		Error:      "One order of a run is about 0.0002.",
		value:      func(f Figures) float64 { return f.OrderSuccess },
	},
	{
		Name: "recovery_s", Unit: "s", Goal: "<= 2", met: atMost(2),
		Definition: "Time from the end of the trigger until goodput is at least 99 % of its mean before the trigger and stays so, as a mean, for 5 s. \"+Inf\": not within the run.",
		Error:      "Buckets of 0.25 s. A window of 5 s with a burst of late responses can hide a short dip.",
		value:      func(f Figures) float64 { return f.Recovery },
	},
	{
		Name: "wasted_ratio", Unit: "ratio", Goal: "<= 0.05", met: atMost(0.05),
		Definition: "Target time that served no complete response, divided by all target time: all time of requests that failed, and all but one completed run per service of those that succeeded.",
		Error:      "Includes the warm-up. Time that a target waits for a call is target time at both services.",
		value:      func(f Figures) float64 { return f.Wasted },
	},
	{
		Name: attemptsMax, Unit: "attempts", Goal: "within the bound",
		Definition: "Most sends between nodes for one root request over its whole chain and all attempts of its caller. The bound holds for each request: the length of the chain (one more for orders, which may go to the home node of their key) times the attempts of the caller, plus 3 retries, each of which costs a chain if a connection went silent and one send otherwise. Bold: a request exceeded its bound.",
		Error:      "Calls that a node delivers to its own target are not sent and not counted.",
		value:      func(f Figures) float64 { return float64(f.MaxAttempts) },
	},
	{
		Name: "duplicates", Unit: "orders", Goal: "0", met: atMost(0),
		Definition: "Idempotency keys for which targets began more than one run.",
		Error:      "Exact.",
		value:      func(f Figures) float64 { return float64(f.Duplicates) },
	},
	{
		Name: "false_not_run", Unit: "requests", Goal: "0", met: atMost(0),
		Definition: "Requests with an attempt that was reported as \"not run\" and that a target of their service began to run, or that ended as \"not run\" although any attempt ran.",
		Error:      "Exact.",
		value:      func(f Figures) float64 { return float64(f.FalseNotRun) },
	},
	{
		Name: "mixed_answers", Unit: "requests", Goal: "0", met: atMost(0),
		Definition: "Requests that got a response with the body of another request.",
		Error:      "Exact.",
		value:      func(f Figures) float64 { return float64(f.MismatchedResponses) },
	},
}

// format formats the value of the metric. Counts have no decimals.
func (m metric) format(f Figures) string {
	v := m.value(f)
	if v == math.Trunc(v) && m.Unit != "ratio" && m.Unit != "s" {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	digits := 4
	if m.Unit == "s" {
		digits = 2
	}
	return strconv.FormatFloat(v, 'f', digits, 64)
}

// WriteLines writes one line per figure: scenario, system, metric and value, separated by tabs. In the comparison of settings,
// the site whose settings are used follows the system, as in "wigeoncleat/gnomon".
func (r Report) WriteLines(w io.Writer) error {
	for _, x := range r {
		system := string(x.System)
		if x.Overlay != "" {
			system += "/" + x.Overlay
		}
		for _, m := range metrics {
			if _, err := fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", x.name(), system, m.Name, m.format(x.Figures)); err != nil {
				return err
			}
		}
	}
	return nil
}

// cell formats the value of the metric for a Markdown table, in bold if it misses the goal.
func (m metric) cell(f Figures) string {
	if m.met != nil && !m.met(m.value(f)) || m.Name == attemptsMax && f.OverAttemptBound > 0 {
		return "**" + m.format(f) + "**"
	}
	return m.format(f)
}

// row returns the table row of a measurement.
func row(x Measurement) []string {
	cells := []string{x.name(), string(x.System)}
	for _, m := range metrics {
		cells = append(cells, m.cell(x.Figures))
	}
	return cells
}

// settingsMetrics lists the metrics in the comparison of settings.
var settingsMetrics = []string{"goodput_ratio", "order_success", "recovery_s", "wasted_ratio"}

// settingsRows returns the table rows of the comparison of settings: mean, minimum and maximum of each metric by scenario and
// settings.
func (r Report) settingsRows() [][]string {
	var rows [][]string
	for i, x := range r {
		same := func(y Measurement) bool { return y.name() == x.name() && y.Overlay == x.Overlay }
		if x.Overlay == "" || slices.ContainsFunc(r[:i], same) {
			continue
		}
		cells := []string{x.name(), x.Overlay}
		for _, m := range metrics {
			if !slices.Contains(settingsMetrics, m.Name) {
				continue
			}
			var values []float64
			sum := 0.0
			for _, y := range r[i:] {
				if same(y) {
					v := m.value(y.Figures)
					values = append(values, v)
					sum += v
				}
			}
			cells = append(cells, fmt.Sprintf("%.3f (%.3f to %.3f)", sum/float64(len(values)), slices.Min(values), slices.Max(values)))
		}
		rows = append(rows, cells)
	}
	return rows
}

//go:embed report.md.tmpl
var pageText string

var page = template.Must(template.New("measurements").Parse(pageText))

// WriteDocs writes measurements.md and its plots into the directory.
func (r Report) WriteDocs(dir string) error {
	plots := filepath.Join(dir, "plots")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	var scenarios []Scenario
	var rows [][]string
	var unbound []string
	servableOrders := map[string]string{}
	for _, x := range r {
		if x.Overlay != "" {
			continue
		}
		rows = append(rows, row(x))
		if f := x.Figures; f.UnboundOrders > 0 && x.System == Real {
			unbound = append(unbound, fmt.Sprintf("%s: %d orders with keys of their callers were first sent while the platform was down; %d of them got a complete response, from a later attempt.",
				x.name(), f.UnboundOrders, f.UnboundCompleted))
		}
		if share := x.Scenario.servableOrderShare(x.Site); share < 1 {
			servableOrders[x.name()] = fmt.Sprintf("%.1f %%", 100*share)
		}
		if !slices.ContainsFunc(scenarios, func(s Scenario) bool { return s.Name == x.Scenario.Name }) {
			scenarios = append(scenarios, x.Scenario)
		}
	}
	for _, s := range scenarios {
		if err := r.plot(filepath.Join(plots, s.Name+".png"), s); err != nil {
			return fmt.Errorf("plot %s: %w", s.Name, err)
		}
	}
	var b bytes.Buffer
	data := map[string]any{"Rows": rows, "Metrics": metrics, "Scenarios": scenarios, "Short": servableOrders, "Unbound": unbound,
		"Choices": r.settingsRows(), "ChoiceMetrics": settingsMetrics}
	if err := page.Execute(&b, data); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return os.WriteFile(filepath.Join(dir, "measurements.md"), b.Bytes(), 0o644)
}
