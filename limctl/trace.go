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

const traceManual = `Prints the story of one job or request, in order, from the logs of all VMs.

Log files are named as arguments; without any, standard input is read. A line
belongs to the id when a field holds it: as the id, as the first part of a task's or
step's name, or as the last part of a path. Lines of other origin and lines that a
crash cut off are passed over and counted. Where a log says that lines were left out
within the span of the story, that is printed in its place.

Example:

  limctl trace 5c0e7a21d94b36f8 vm-*.log
  limctl trace 5c0e7a21d94b36f8 --output json < all.log`

type traceCmd struct {
	ID    string   `arg:"" help:"Id of the job."`
	Files []string `arg:"" optional:"" help:"Log files of the VMs; none reads standard input."`
}

// Help returns the manual.
func (*traceCmd) Help() string { return traceManual }

// traceLine is one line of the story.
type traceLine struct {
	At      time.Time         `json:"at"`
	Source  string            `json:"source"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"`
	order   []string
}

type story struct {
	ID    string      `json:"id"`
	Lines []traceLine `json:"lines"`
	// Unreadable counts the lines that are not key=value pairs with a time.
	Unreadable int `json:"unreadable"`
}

// leftOutMessage is the message of a line that counts lines left out.
const leftOutMessage = "lines left out"

// Run reads the logs and prints the story.
func (cmd *traceCmd) Run(a *app) error {
	s := story{ID: cmd.ID, Lines: []traceLine{}}
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
		return rcode.New(rcode.NotFound, "no line of %d files names %s", max(1, len(cmd.Files)), cmd.ID)
	}
	s.sort()
	s.addGaps(gaps)
	return a.emit(s, func(w io.Writer) { s.print(w) })
}

// read takes in the lines of one log.
func (s *story) read(name string, r io.Reader, gaps *[]traceLine) error {
	d := logfmt.NewDecoder(r)
	for d.ScanRecord() {
		line := traceLine{Source: name, Fields: make(map[string]string)}
		mine := false
		for d.ScanKeyval() {
			k, v := string(d.Key()), string(d.Value())
			switch k {
			case "ts":
				line.At, _ = time.Parse(time.RFC3339Nano, v) // a zero time counts as unreadable below
			case "msg":
				line.Message = v
			default:
				line.Fields[k] = v
				line.order = append(line.order, k)
			}
			mine = mine || names(k, v, s.ID)
		}
		switch {
		case line.At.IsZero():
			s.Unreadable++
		case mine:
			s.Lines = append(s.Lines, line)
		case line.Message == leftOutMessage:
			*gaps = append(*gaps, line)
		}
	}
	if err := d.Err(); err != nil {
		// The decoder cannot go on behind a line that is no logfmt.
		return rcode.Wrap(err, rcode.BadRequest, "%s is not a log of key=value lines", name)
	}
	return nil
}

// names reports whether a field's value names the id.
func names(key, value, id string) bool {
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

func (s *story) sort() {
	slices.SortStableFunc(s.Lines, func(a, b traceLine) int { return a.At.Compare(b.At) })
}

// addGaps puts in the lines that say that others were left out, where they fall
// into the span of the story.
func (s *story) addGaps(gaps []traceLine) {
	first, last := s.Lines[0].At, s.Lines[len(s.Lines)-1].At
	for _, g := range gaps {
		// The line comes up to a second after what it counts.
		if !g.At.Before(first) && g.At.Before(last.Add(time.Second)) {
			s.Lines = append(s.Lines, g)
		}
	}
	s.sort()
}

func (s *story) print(w io.Writer) {
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
		fmt.Fprintf(w, "%d lines without a time were passed over\n", s.Unreadable)
	}
}
