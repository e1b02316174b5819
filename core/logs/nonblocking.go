package logs

import (
	"io"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"limpethitch.example/core/rcode"
)

const (
	// maxBufferedLines is the number of lines that are buffered while the output
	// blocks.
	maxBufferedLines = 4096
	// sampleFirst is the number of lines with the same message that are written each
	// second. After these, one of every sampleThereafter lines is written.
	sampleFirst      = 2000
	sampleThereafter = 100
)

// NonBlocking is a logger whose callers never wait for its output. It drops and counts
// the lines that do not fit its buffer, and most lines of a message that is logged
// more often than sampleFirst times a second.
type NonBlocking struct {
	*zap.Logger
	lines      chan []byte
	unreported atomic.Int64
	dropped    atomic.Int64
	done       chan struct{}
	stop       chan struct{}
}

// NewNonBlocking returns a logger that writes lines at or above level to w.
func NewNonBlocking(level string, w io.Writer) (*NonBlocking, error) {
	var l zapcore.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, rcode.Wrap(err, rcode.SettingInvalid, "logs.NewNonBlocking")
	}
	b := &NonBlocking{lines: make(chan []byte, maxBufferedLines), done: make(chan struct{}), stop: make(chan struct{})}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.AddSync(b), l)
	core = zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				b.drop()
			}
		}))
	b.Logger = zap.New(core)
	go b.writeLines(w)
	return b, nil
}

// Write buffers a line, or drops it if the buffer is full.
func (b *NonBlocking) Write(line []byte) (int, error) {
	buffered := append([]byte(nil), line...) // the encoder reuses its buffer
	select {
	case b.lines <- buffered:
	default:
		b.drop()
	}
	return len(line), nil
}

// drop counts a dropped line.
func (b *NonBlocking) drop() {
	b.unreported.Add(1)
	b.dropped.Add(1)
}

// Dropped returns the number of lines dropped since the start.
func (b *NonBlocking) Dropped() int64 { return b.dropped.Load() }

// Close writes the buffered lines and stops the writing goroutine. Lines that are
// logged later are never written.
func (b *NonBlocking) Close() {
	close(b.stop)
	<-b.done
}

// writeLines writes the buffered lines to w until Close is called. Each second it
// logs the number of lines dropped since its last report.
func (b *NonBlocking) writeLines(w io.Writer) {
	defer close(b.done)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line) // an error of the log's output cannot be reported anywhere
		case <-tick.C:
			if n := b.unreported.Swap(0); n > 0 {
				b.Warn("lines left out", zap.Int64("count", n))
			}
		case <-b.stop:
			b.flush(w)
			return
		}
	}
}

// flush writes the lines that are in the buffer.
func (b *NonBlocking) flush(w io.Writer) {
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}
