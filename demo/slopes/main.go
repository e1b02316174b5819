// Command slopes runs the benchmarks that docs/CAPACITY.md is based on, or all
// benchmarks, and prints their results as one table.
//
// # Usage
//
//	go run ./demo/slopes                  the slopes, from the root of the workspace
//	go run ./demo/slopes --bench . --time 1s
//
// The benchmarks use fixed sizes, keys and sequences, so there is no seed.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kong"
)

type settings struct {
	Bench    string   `help:"Regular expression that selects benchmarks." default:"^BenchmarkSlope|^BenchmarkOpen$" env:"SLOPES_BENCH"`
	Time     string   `help:"Duration of one benchmark, as for go test -benchtime." default:"300ms" env:"SLOPES_TIME"`
	Packages []string `help:"Packages to run." default:"./entry/...,./core/..." env:"SLOPES_PACKAGES"`
}

// row is one metric of one benchmark.
type row struct{ bench, value, unit string }

func main() {
	var set settings
	kong.Parse(&set, kong.Name("slopes"), kong.Description("Runs benchmarks and prints one table."))
	if err := run(set); err != nil {
		fmt.Fprintf(os.Stderr, "slopes: %v\n", err)
		os.Exit(1)
	}
}

func run(set settings) error {
	// Packages run sequentially, since concurrent benchmarks would affect each other.
	args := append([]string{"test", "-p", "1", "-run", "^$", "-bench", set.Bench, "-benchtime", set.Time}, set.Packages...)
	fmt.Printf("command: go %s\n%s %s/%s, %d processors\n\n", strings.Join(args, " "), runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
	cmd := exec.Command("go", args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	rows := parse(out)
	for _, r := range rows {
		fmt.Printf("%-46s %14s  %s\n", r.bench, r.value, r.unit)
	}
	for _, line := range ratios(rows) {
		fmt.Println(line)
	}
	violations := violatedBounds(rows)
	for _, line := range violations {
		fmt.Println(line)
	}
	if err == nil && len(violations) > 0 {
		return errors.New("a bound was exceeded")
	}
	if err != nil {
		return fmt.Errorf("go test: %w\n%s", err, out)
	}
	if len(rows) == 0 {
		return errors.New("no benchmark matches the pattern")
	}
	return nil
}

// baselines maps a benchmark to the one of the same run that it is compared with.
var baselines = map[string]string{
	"Churn/w600":                  "Churn/fair-best-fit-600",
	"Churn/w4800":                 "Churn/w600",
	"Path/entry":                  "Path/direct",
	"Path/entry-caller-id":        "Path/direct",
	"SlopeDecide/w600":            "SlopeDecide/w278",
	"SlopeRequest/router":         "SlopeRequest/baseline",
	"SlopeRenew/tasks-5":          "SlopeRenew/tasks-0",
	"SlopeHeartbeat/take-relayed": "SlopeHeartbeat/take-plain",
	"SlopeGroup/jobs-32-kept-0":   "SlopeGroup/jobs-1-kept-0",
	"SlopeGroup/jobs-1-kept-100":  "SlopeGroup/jobs-1-kept-0",
}

// ratios returns the time per operation of each benchmark relative to its baseline, if
// both ran.
func ratios(rows []row) []string {
	nsPerOp := map[string]float64{}
	for _, r := range rows {
		if v, err := strconv.ParseFloat(r.value, 64); err == nil && r.unit == "ns/op" {
			nsPerOp[r.bench] = v
		}
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(baselines)) {
		base := baselines[name]
		if nsPerOp[name] > 0 && nsPerOp[base] > 0 {
			out = append(out, fmt.Sprintf("%-46s %14.2f  x %s", name, nsPerOp[name]/nsPerOp[base], base))
		}
	}
	return out
}

// bound is a target of docs/design.md for a benchmark relative to its baseline in the
// same run: a maximum ratio, or a maximum difference in the unit of the metric.
type bound struct {
	name, base, unit        string
	maxRatio, maxDifference float64
}

var bounds = []bound{
	{name: "Churn/w4800", base: "Churn/w600", unit: "ns/op", maxRatio: 2},
	{name: "Path/entry", base: "Path/direct", unit: "p50-µs", maxDifference: 300},
	{name: "Path/entry", base: "Path/direct", unit: "p99-µs", maxDifference: 300},
}

// violatedBounds lists the bounds that a run violated. A benchmark that did not run
// violates none.
func violatedBounds(rows []row) []string {
	values := map[[2]string]float64{}
	for _, r := range rows {
		if v, err := strconv.ParseFloat(r.value, 64); err == nil {
			values[[2]string{r.bench, r.unit}] = v
		}
	}
	var out []string
	for _, b := range bounds {
		got, base := values[[2]string{b.name, b.unit}], values[[2]string{b.base, b.unit}]
		if got == 0 || base == 0 {
			continue
		}
		if b.maxRatio > 0 && got/base > b.maxRatio {
			out = append(out, fmt.Sprintf("BOUND %s is %.2f times %s, at most %.2f", b.name, got/base, b.base, b.maxRatio))
		}
		if b.maxDifference > 0 && got-base > b.maxDifference {
			out = append(out, fmt.Sprintf("BOUND %s adds %.0f %s to %s, at most %.0f", b.name, got-base, b.unit, b.base, b.maxDifference))
		}
	}
	return out
}

// parse parses lines of the form "BenchmarkName-10  N  value unit  value unit ...".
func parse(out []byte) []row {
	var rows []row
	scan := bufio.NewScanner(bytes.NewReader(out))
	for scan.Scan() {
		f := strings.Fields(scan.Text())
		if len(f) < 4 || !strings.HasPrefix(f[0], "Benchmark") {
			continue
		}
		name := strings.TrimPrefix(f[0], "Benchmark")
		if i := strings.LastIndex(name, "-"); i > 0 && strings.Trim(name[i+1:], "0123456789") == "" {
			name = name[:i]
		}
		for i := 2; i+1 < len(f); i += 2 {
			rows = append(rows, row{name, f[i], f[i+1]})
		}
	}
	return rows
}
