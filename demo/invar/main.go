// Command invar runs the tests of the invariants I1 to I11 and prints the number of
// passed test cases of each.
//
// # Usage
//
//	go run ./demo/invar                  from the root of the workspace
//
// It exits with 1 if a case failed or a listed test did not run.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"sort"
	"strings"
)

// modulePrefix is the import path prefix of the packages in the table.
const modulePrefix = "limpethitch.example/"

// invariant is one invariant with its tests by package.
type invariant struct {
	id, text string
	tests    map[string][]string
}

// results counts passed and failed cases, subtests included, by package and
// top-level test.
type results map[string]*count

type count struct{ passed, failed int }

var resultLine = regexp.MustCompile(`^\s*--- (PASS|FAIL|SKIP): (\w+)`)

func main() {
	all, err := runAll(invariants())
	if err != nil {
		fmt.Fprintf(os.Stderr, "invar: %v\n", err)
		os.Exit(1)
	}
	ok := true
	for _, inv := range invariants() {
		line, good := inv.summary(all)
		fmt.Println(line)
		ok = ok && good
	}
	if !ok {
		os.Exit(1)
	}
}

// summary returns the output line of an invariant, and whether all of its tests ran
// and passed.
func (inv invariant) summary(all results) (string, bool) {
	passed, failed := 0, 0
	var missing []string
	for pkg, names := range inv.tests {
		for _, name := range names {
			c := all[pkg+"."+name]
			if c == nil || c.passed+c.failed == 0 {
				missing = append(missing, pkg+"."+name)
				continue
			}
			passed += c.passed
			failed += c.failed
		}
	}
	sort.Strings(missing)
	line := fmt.Sprintf("%-4s %-45s %3d cases", inv.id, inv.text, passed)
	if failed > 0 {
		line += fmt.Sprintf(", %d FAILED", failed)
	}
	if len(missing) > 0 {
		line += ", MISSING " + strings.Join(missing, " ")
	}
	return line, failed == 0 && len(missing) == 0
}

// runAll runs the tests of each package once, even if several invariants list them.
func runAll(list []invariant) (results, error) {
	byPackage := map[string]map[string]bool{}
	for _, inv := range list {
		for pkg, names := range inv.tests {
			if byPackage[pkg] == nil {
				byPackage[pkg] = map[string]bool{}
			}
			for _, n := range names {
				byPackage[pkg][n] = true
			}
		}
	}
	all := results{}
	for pkg, names := range byPackage {
		out, err := runPackage(pkg, names)
		found := all.add(pkg, out)
		if err != nil && found == 0 {
			return nil, fmt.Errorf("%s: %w\n%s", pkg, err, out)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s\n", out)
		}
	}
	return all, nil
}

func runPackage(pkg string, names map[string]bool) ([]byte, error) {
	list := make([]string, 0, len(names))
	for n := range names {
		list = append(list, n)
	}
	sort.Strings(list)
	cmd := exec.Command("go", "test", "-count=1", "-v", "-run", "^("+strings.Join(list, "|")+")$", modulePrefix+pkg)
	return cmd.CombinedOutput()
}

// add counts the results in the verbose output of a package's tests and returns the
// number of results.
func (r results) add(pkg string, out []byte) int {
	n := 0
	scan := bufio.NewScanner(bytes.NewReader(out))
	scan.Buffer(nil, 1<<20)
	for scan.Scan() {
		m := resultLine.FindStringSubmatch(scan.Text())
		if m == nil {
			continue
		}
		key := pkg + "." + m[2]
		if r[key] == nil {
			r[key] = &count{}
		}
		switch m[1] {
		case "PASS":
			r[key].passed++
		case "FAIL":
			r[key].failed++
		}
		n++
	}
	return n
}
