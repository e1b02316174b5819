// Package graph describes a job as a graph of steps, as submitted by callers and kept in
// the store.
//
// # Usage
//
//	job := graph.Job{ID: "5c0e7a21d94b36f8", Team: "schools", Queue: "renders", Steps: steps}
//	if err := job.Check(); err != nil { ... }
//	raw, err := job.Encode()
//	name := graph.TaskID{Job: job.ID, Occurrence: 0, Step: 1, Index: 17}.String()
//
// A job's steps run once, or once for each occurrence of a schedule. A step is a group of
// identical tasks that may start when all tasks of the steps it depends on are done.
package graph

import (
	"encoding/json"
	"strconv"
	"strings"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/rules"
)

// Limits of an accepted job.
const (
	// MaxSteps is the maximum number of steps of a job.
	MaxSteps = 64
	// MaxTasks is the maximum number of tasks of a job's steps together. The owner keeps a
	// record of each.
	MaxTasks = 10_000
	// MaxOccurrences is the maximum number of occurrences of a schedule.
	MaxOccurrences = 10_000
	// MaxSpecBytes is the maximum length of a job's spec.
	MaxSpecBytes = 4000
	// maxProblems is the number of problems that an error names. Errors are logged.
	maxProblems = 10
)

// Step is a group of identical tasks. It is stored as JSON.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"n"`
	// CPUMilli, MemoryMiB and Accelerators are the declared resources of one task.
	CPUMilli     int64 `json:"cpu,omitempty"`
	MemoryMiB    int64 `json:"mem,omitempty"`
	Accelerators int64 `json:"acc,omitempty"`
	// EstimateMS is the declared run time of a task. It may be far off.
	EstimateMS int64 `json:"est,omitempty"`
	// After lists the indexes of the steps that this one depends on.
	After []int `json:"after,omitempty"`
	// Checkpointing tasks save their progress and can resume from it.
	Checkpointing bool `json:"ckpt,omitempty"`
	// Gang tasks make progress only while all of them run, and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slower if they run on more than one rack.
	SameRack bool `json:"rack,omitempty"`
	// Label is a label that the worker must have; empty is none.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the tasks' data. The tasks are slower on other racks.
	DataRack string `json:"data,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence on one worker; 0 is unlimited.
	MaxPerWorker int `json:"per,omitempty"`
	// AllowDuplicates permits concurrent runs of a task. The first to finish counts.
	AllowDuplicates bool `json:"dup,omitempty"`
	// Service tasks run until the job is cancelled and are restarted whenever they end.
	Service bool `json:"svc,omitempty"`
	// Image names the program that the tasks run. Tasks with the same image behave alike.
	Image string `json:"img,omitempty"`
	// MaxTailLatencyMS is the bound on a service task's tail latency; 0 is none.
	MaxTailLatencyMS int64 `json:"tail,omitempty"`
	// Filler tasks use only CPU that other tasks leave idle. Their CPU does not count
	// against a worker's capacity.
	Filler bool `json:"fill,omitempty"`
	// MaxUnavailable limits how many service tasks of the step this system may make
	// unavailable at the same time; 0 is unlimited.
	MaxUnavailable int `json:"away,omitempty"`
}

// Size returns the resources that one task reserves on its worker.
func (s *Step) Size() amount.Vec {
	if s.Filler {
		return amount.New(0, s.MemoryMiB, s.Accelerators, 0)
	}
	return amount.New(s.CPUMilli, s.MemoryMiB, s.Accelerators, 0)
}

// Declared returns the declared resources of one task, which count against its client
// account's limit.
func (s *Step) Declared() amount.Vec {
	return amount.New(s.CPUMilli, s.MemoryMiB, s.Accelerators, 0)
}

// Job is one accepted job.
type Job struct {
	ID    string `json:"id"`
	Team  string `json:"team"`
	Queue string `json:"queue"`
	// Settings are those of the queue at acceptance. They hold for an owner that does not
	// know the queue: it has not heard of it yet, or the queue was removed since. Nil for a
	// job that was accepted by an earlier version of the program.
	Settings *rules.Queue `json:"settings,omitempty"`
	// Spec is passed to each task unchanged.
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps"`
	// AcceptedUnixMS is the wall time of acceptance, by the clock of the accepting VM.
	AcceptedUnixMS int64 `json:"at"`
	// Occurrences is the number of occurrences of the schedule; 0 means that the steps run
	// once, without a schedule.
	Occurrences int `json:"times,omitempty"`
	// FirstDueUnixMS is when the first occurrence is due, IntervalMS the time between
	// two occurrences.
	FirstDueUnixMS int64 `json:"first,omitempty"`
	IntervalMS     int64 `json:"every,omitempty"`
	// FinalState is the terminal state of a compacted job, whose steps are no longer kept.
	// EndedUnixMS is when it was reached.
	FinalState  string `json:"final,omitempty"`
	EndedUnixMS int64  `json:"ended,omitempty"`
}

// Compacted returns the compacted form of a finished job: its state, and its ID so that
// a repeated submission is recognized.
func (j *Job) Compacted(final string, endedUnixMS int64) *Job {
	return &Job{ID: j.ID, FinalState: final, EndedUnixMS: endedUnixMS}
}

// Check validates the job. The error names up to maxProblems things that are wrong. A compacted
// job needs only a valid ID.
func (j *Job) Check() error {
	var problems []string
	if !ValidID(j.ID) {
		problems = append(problems, "the id is not 16 hexadecimal digits")
	} else if j.FinalState != "" {
		return nil
	}
	if len(j.Spec) > MaxSpecBytes {
		problems = append(problems, "the spec is longer than "+strconv.Itoa(MaxSpecBytes)+" bytes")
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		problems = append(problems, "the number of steps is not between 1 and "+strconv.Itoa(MaxSteps))
	}
	if j.Occurrences < 0 || j.Occurrences > MaxOccurrences || j.IntervalMS < 0 {
		problems = append(problems, "the number of occurrences is not between 0 and "+strconv.Itoa(MaxOccurrences)+", or the interval is negative")
	}
	tasks := 0
	for i := range j.Steps {
		if len(problems) <= maxProblems {
			problems = append(problems, j.Steps[i].problems(i)...)
		}
		tasks += min(j.Steps[i].Count, MaxTasks+1)
	}
	if tasks > MaxTasks {
		problems = append(problems, "the steps have more than "+strconv.Itoa(MaxTasks)+" tasks")
	}
	if len(problems) > maxProblems {
		problems = append(problems[:maxProblems:maxProblems], "and others")
	}
	if len(problems) > 0 {
		return rcode.New(rcode.BadRequest, "graph.Job: %s", strings.Join(problems, "; "))
	}
	return nil
}

// problems describes everything that is wrong with the step at an index.
func (s *Step) problems(index int) []string {
	var out []string
	name := "step " + strconv.Itoa(index)
	if s.Count < 1 {
		out = append(out, name+": the number of tasks is not positive")
	}
	if s.CPUMilli < 0 || s.MemoryMiB < 0 || s.Accelerators < 0 || s.EstimateMS < 0 {
		out = append(out, name+": a declared resource or run time is negative")
	}
	for _, a := range s.After {
		if (a < 0 || a >= index) && len(out) <= maxProblems {
			out = append(out, name+": depends on step "+strconv.Itoa(a)+", which is not an earlier step")
		}
	}
	return out
}

// Encode returns the job as stored JSON.
func (j *Job) Encode() ([]byte, error) {
	raw, err := json.Marshal(j)
	return raw, rcode.Wrap(err, rcode.Internal, "graph.Encode")
}

// Decode parses and validates a stored job.
func Decode(raw []byte) (*Job, error) {
	j := new(Job)
	if err := json.Unmarshal(raw, j); err != nil {
		return nil, rcode.Wrap(err, rcode.BadRequest, "graph.Decode")
	}
	return j, j.Check()
}

// RunsUntilCancelled reports whether the job runs until it is cancelled.
func (j *Job) RunsUntilCancelled() bool {
	for i := range j.Steps {
		if j.Steps[i].Service {
			return true
		}
	}
	return false
}

// OccurrenceCount returns the number of occurrences, at least 1.
func (j *Job) OccurrenceCount() int { return max(1, j.Occurrences) }

// DueUnixMS returns when an occurrence may start; 0 is immediately.
func (j *Job) DueUnixMS(occurrence int) int64 {
	if j.Occurrences == 0 {
		return 0
	}
	return j.FirstDueUnixMS + int64(occurrence)*j.IntervalMS
}

// idDigits is the length of a job ID.
const idDigits = 16

// ValidID reports whether id is a well-formed job ID.
func ValidID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for i := range len(id) {
		c := id[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// TaskID identifies a task of one occurrence of a job.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the task's name in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step in the form JOB.OCCURRENCE.STEP.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses a task's name as returned by String.
func ParseTaskID(name string) (TaskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, false
	}
	t := TaskID{Job: parts[0]}
	for i, field := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, false
		}
		*field = n
	}
	return t, true
}
