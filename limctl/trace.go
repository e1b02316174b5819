package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"limpethitch.example/core/rcode"
)

const traceManual = `Prints the timeline of one job or request, oldest line first, from the logs of all
VMs.

Log files are named as arguments; without any, standard input is read. A line
belongs to the id when a field holds it: as the id, as the first part of a task's or
step's name, or as the last part of a path. Lines of other
programs and lines truncated by a crash are skipped and counted. If a log reports
dropped lines within the time span of the timeline, that line is included.

Example:

  limctl trace 5c0e7a21d94b36f8 vm-*.log
  limctl trace 5c0e7a21d94b36f8 --output json < all.log`

type traceCmd struct {
	ID    string   `arg:"" help:"Id of the job."`
	Files []string `arg:"" optional:"" help:"Log files of the VMs (default: standard input)."`
}

// Help implements kong.HelpProvider.
func (*traceCmd) Help() string { return traceManual }

// traceLine is one log line of the timeline. order lists its fields in log order.
type traceLine struct {
	At      time.Time         `json:"at"`
	Source  string            `json:"source"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"`
	order   []string
}

// timeline is the JSON output of trace.
type timeline struct {
	ID    string      `json:"id"`
	Lines []traceLine `json:"lines"`
	// Unreadable counts the lines without a valid time.
	Unreadable int `json:"unreadable"`
}

// droppedLinesMessage is the message of a log line that counts dropped lines.
const droppedLinesMessage = "lines left out"

// Run reads the logs and prints the timeline.
func (cmd *traceCmd) Run(a *app) error {
	s := timeline{ID: cmd.ID, Lines: []traceLine{}}
	var gaps []traceLine
	read := func(name string, r io.Reader) error {
		return s.read(name, r, &gaps)
	}
	if len(cmd.Files) == 0 {
		if err := read("-", a.stdin); err != nil {
			return err
		}
	}
	for _, name := range cmd.Files {
		f, err := os.Open(name)
		if err != nil {
			return rcode.Wrap(err, rcode.NotFound, "traceCmd.Run")
		}
		err = read(name, f)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	if len(s.Lines) == 0 {
		return rcode.New(rcode.NotFound, "no line of %d files contains the id %s", max(1, len(cmd.Files)), cmd.ID)
	}
	s.sort()
	s.addGaps(gaps)
	return a.printResult(s, func(w io.Writer) { s.print(w) })
}

// read adds the matching lines of one log to the timeline. Lines that report dropped
// lines go to gaps.
func (s *timeline) read(name string, r io.Reader, gaps *[]traceLine) error {
	dec := logfmt.NewDecoder(r)
	for dec.ScanRecord() {
		line := traceLine{Source: name, Fields: make(map[string]string)}
		matched := false
		for dec.ScanKeyval() {
			k, v := string(dec.Key()), string(dec.Value())
			switch k {
			case "ts":
				line.At, _ = time.Parse(time.RFC3339Nano, v) // a zero time counts as unreadable below
			case "msg":
				line.Message = v
			default:
				line.Fields[k] = v
				line.order = append(line.order, k)
			}
			matched = matched || matchesID(k, v, s.ID)
		}
		switch {
		case line.At.IsZero():
			s.Unreadable++
		case matched:
			s.Lines = append(s.Lines, line)
		case line.Message == droppedLinesMessage:
			*gaps = append(*gaps, line)
		}
	}
	if err := dec.Err(); err != nil {
		// The decoder cannot continue after a line that is not logfmt.
		return rcode.Wrap(err, rcode.BadRequest, "%s is not a log of key=value lines", name)
	}
	return nil
}

// matchesID reports whether a field refers to the id.
func matchesID(key, value, id string) bool {
	switch key {
	case "id":
		return value == id
	case "task", "step":
		return value == id || strings.HasPrefix(value, id+".")
	case "path", "key":
		return strings.HasSuffix(value, "/"+id)
	default:
		return false
	}
}

func (s *timeline) sort() {
	slices.SortStableFunc(s.Lines, func(a, b traceLine) int { return a.At.Compare(b.At) })
}

// addGaps adds the lines that report dropped lines, if they lie within the time span
// of the timeline.
func (s *timeline) addGaps(gaps []traceLine) {
	first, last := s.Lines[0].At, s.Lines[len(s.Lines)-1].At
	for _, g := range gaps {
		// The line is logged up to one second after the lines that it counts.
		if !g.At.Before(first) && g.At.Before(last.Add(time.Second)) {
			s.Lines = append(s.Lines, g)
		}
	}
	s.sort()
}

func (s *timeline) print(w io.Writer) {
	for _, l := range s.Lines {
		fmt.Fprintf(w, "%s  %s  %s", l.At.Format("15:04:05.000"), l.Source, l.Message)
		for _, k := range l.order {
			if k != "level" {
				fmt.Fprintf(w, " %s=%s", k, l.Fields[k])
			}
		}
		fmt.Fprintln(w)
	}
	if s.Unreadable > 0 {
		fmt.Fprintf(w, "%d lines without a time were skipped\n", s.Unreadable)
	}
}
