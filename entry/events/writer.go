package events

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

// Prefix is the key prefix of the segments.
const Prefix = "log/"

// segmentKey returns the key of a segment. Keys sort in the order in which the segments
// were written, because the epoch rises with each owner and the number with each
// segment of an epoch.
func segmentKey(epoch, number int64) string {
	return fmt.Sprintf("%s%016x/%010x", Prefix, epoch, number)
}

// triesPerLogLine limits the log lines about one segment during an outage of the store.
const triesPerLogLine = 16

// retryDelay is the pause before a segment is sent again.
const retryDelay = 60 * time.Millisecond

// Writer appends segments for one term of ownership. It is not safe for concurrent use.
type Writer struct {
	st      store.Store
	termKey string
	clk     clock.Clock
	log     *zap.Logger

	epoch, token int64
	number       int64
}

// NewWriter returns a Writer for the term that began with the write of termKey at
// revision token.
func NewWriter(st store.Store, termKey string, epoch, token int64, clk clock.Clock, log *zap.Logger) *Writer {
	return &Writer{st: st, termKey: termKey, epoch: epoch, token: token, clk: clk, log: log}
}

// Append writes one segment and returns its key and the store's revision of it once it is
// stored, retrying until then. The revision is higher than that of the term's key, and lower than
// that of a later term. It fails with rcode.NotOwner if another VM has taken over or ctx ends, and with
// rcode.Internal if the events cannot be encoded.
func (w *Writer) Append(ctx context.Context, list []Event) (key string, revision int64, err error) {
	raw, err := Encode(list)
	if err != nil {
		return "", 0, err
	}
	w.number++
	key = segmentKey(w.epoch, w.number)
	for try := 1; ctx.Err() == nil; try++ {
		res, err := w.st.Commit(ctx, store.NewTxn().If(w.termKey, w.token).If(key, 0).Put(key, raw))
		if err == nil {
			if res.Succeeded() {
				return key, res.Revision(), nil
			}
			if revision, ok := w.storedAt(ctx, key, raw); ok {
				return key, revision, nil
			}
			if w.isSuperseded(ctx) {
				return key, 0, rcode.New(rcode.NotOwner, "events.Append %s: another VM has taken over", key)
			}
		}
		if try == 1 || try%triesPerLogLine == 0 {
			w.log.Warn("failed to store segment, retrying", append(logs.Err(err),
				zap.String("key", key), zap.Int("try", try), zap.Int("events", len(list)))...)
		}
		select {
		case <-w.clk.After(retryDelay):
		case <-ctx.Done():
		}
	}
	return key, 0, rcode.New(rcode.NotOwner, "events.Append %s: cancelled because the term ended", key)
}

// storedAt returns the revision at which an earlier try stored the segment, and whether one did.
func (w *Writer) storedAt(ctx context.Context, key string, raw []byte) (int64, bool) {
	kv, err := w.st.Get(ctx, key)
	return kv.ModRevision(), err == nil && bytes.Equal(kv.Value(), raw)
}

// isSuperseded reports whether another VM has taken over.
func (w *Writer) isSuperseded(ctx context.Context) bool {
	kv, err := w.st.Get(ctx, w.termKey)
	return err == nil && kv.ModRevision() != w.token
}

// Segment is one stored group of events.
type Segment struct {
	Key    string
	Events []Event
}

// Epoch returns the epoch of the term in which the segment was written, or 0 if its key does
// not contain one.
func (s Segment) Epoch() int64 {
	epoch, _, _ := strings.Cut(strings.TrimPrefix(s.Key, Prefix), "/")
	n, err := strconv.ParseInt(epoch, 16, 64)
	if err != nil {
		return 0
	}
	return n
}

// Load returns all segments in the order in which they were written.
func Load(ctx context.Context, st store.Store) ([]Segment, error) {
	kvs, _, err := st.List(ctx, Prefix)
	if err != nil {
		return nil, rcode.Wrap(err, rcode.Of(err), "events.Load")
	}
	out := make([]Segment, 0, len(kvs))
	for _, kv := range kvs {
		list, err := Decode(kv.Value())
		if err != nil {
			return nil, rcode.Wrap(err, rcode.Internal, "events.Load %s", kv.Key())
		}
		out = append(out, Segment{Key: kv.Key(), Events: list})
	}
	return out, nil
}
