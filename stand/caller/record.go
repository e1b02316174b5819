package caller

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"limpethitch.example/core/rcode"
)

// Range and precision of the histograms, in microseconds. Requests live at
// most 60 s; longer waits count as the largest value.
const (
	lowest  = 1
	highest = 120_000_000
	digits  = 3
)

type series struct {
	class string
	code  rcode.Code
}

// Recorder holds waiting times by class and result code. It is safe for
// concurrent use.
type Recorder struct {
	mu    sync.Mutex
	hists map[series]*hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{hists: map[series]*hdrhistogram.Histogram{}} }

// Add records one result.
func (r *Recorder) Add(class string, code rcode.Code, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := series{class, code}
	h := r.hists[k]
	if h == nil {
		h = hdrhistogram.New(lowest, highest, digits)
		r.hists[k] = h
	}
	// The value is within the range, so that RecordValue cannot fail.
	_ = h.RecordValue(min(max(wait.Microseconds(), lowest), highest))
}

// Row is one class with one result code.
type Row struct {
	class string
	code  rcode.Code
	hist  *hdrhistogram.Histogram
}

// Class returns the class.
func (r Row) Class() string { return r.class }

// Code returns the result code.
func (r Row) Code() rcode.Code { return r.code }

// Count returns how many calls had this result.
func (r Row) Count() int64 { return r.hist.TotalCount() }

// Latency returns the latency at a percentile from 0 to 100.
func (r Row) Latency(quantile float64) time.Duration {
	return time.Duration(r.hist.ValueAtQuantile(quantile)) * time.Microsecond
}

// Rows returns a copy of all rows, ordered by class and code.
func (r *Recorder) Rows() []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Row, 0, len(r.hists))
	for k, h := range r.hists {
		out = append(out, Row{k.class, k.code, h.Clone()})
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.code, b.code))
	})
	return out
}

// Counts returns how many calls of a class had each result code.
func (r *Recorder) Counts(class string) map[rcode.Code]int64 {
	out := map[rcode.Code]int64{}
	for _, row := range r.Rows() {
		if row.class == class {
			out[row.code] = row.Count()
		}
	}
	return out
}
