package serve

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

// layoutKey is the store key of the layout.
const layoutKey = "cell/layout"

// layout lists the shards of all data centres. Homes never changes once it is written,
// because ids would otherwise move to another home shard. The shards of a data centre
// that is added later are therefore no home shards.
type layout struct {
	Homes  []string       `json:"homes"`
	Shards map[string]int `json:"shards"`
}

// homeShard returns the shard that detects duplicates of an id.
func (l *layout) homeShard(id string) string {
	return l.Homes[xxhash.Sum64String(id)%uint64(len(l.Homes))]
}

// shardOf returns the shard of a worker or backend server in a data centre.
func (l *layout) shardOf(dc, id string) (string, bool) {
	n := l.Shards[dc]
	if n == 0 {
		return "", false
	}
	return shardName(dc, int(xxhash.Sum64String(id)%uint64(n))), true
}

func (l *layout) shardCount() int {
	total := 0
	for _, n := range l.Shards {
		total += n
	}
	return total
}

func shardName(dc string, n int) string { return dc + "/" + strconv.Itoa(n) }

func splitShard(name string) (dc string, n int) {
	dc, num, _ := strings.Cut(name, "/")
	// Shard names come from the layout, so the number is always valid.
	n, _ = strconv.Atoi(num)
	return dc, n
}

// layouts caches the layout and adds new data centres to the stored one.
type layouts struct {
	current atomic.Pointer[layout]
	store   store.Store
	shards  int
}

func (l *layouts) get() *layout { return l.current.Load() }

// ensure reads the layout if it is unknown, and adds the data centres of the bundle
// that it does not contain.
func (l *layouts) ensure(ctx context.Context, b *policy.Bundle) error {
	if current := l.get(); current != nil && !l.missesDataCentre(current, b) {
		return nil
	}
	next := &layout{Shards: map[string]int{}}
	kv, err := l.store.Get(ctx, layoutKey)
	switch {
	case rcode.Is(err, rcode.NotFound):
	case err != nil:
		return rcode.Wrap(err, rcode.StoreUnavailable, "cannot read the shard layout")
	default:
		if err := json.Unmarshal(kv.Value(), next); err != nil {
			return rcode.Wrap(err, rcode.Internal, "cannot decode the shard layout")
		}
	}
	if !l.missesDataCentre(next, b) {
		l.current.Store(next)
		return nil
	}
	l.addDataCentres(next, b)
	body, err := json.Marshal(next)
	if err != nil {
		return rcode.Wrap(err, rcode.Internal, "cannot encode the shard layout")
	}
	res, err := l.store.Commit(ctx, store.NewTxn().If(layoutKey, kv.ModRevision()).Put(layoutKey, body))
	if err != nil || !res.Succeeded() {
		// Another VM wrote first, or the reply was lost. The next call reads the layout
		// again.
		return rcode.New(rcode.Conflict, "the shard layout was written by another VM, or its write has no known outcome")
	}
	l.current.Store(next)
	return nil
}

func (l *layouts) missesDataCentre(current *layout, b *policy.Bundle) bool {
	return slices.ContainsFunc(b.DataCentres(), func(dc string) bool { return current.Shards[dc] == 0 })
}

// addDataCentres adds shards for the bundle's data centres that next does not contain.
// Only the shards of a new layout become home shards.
func (l *layouts) addDataCentres(next *layout, b *policy.Bundle) {
	isNew := len(next.Homes) == 0
	for _, dc := range b.DataCentres() {
		if next.Shards[dc] > 0 {
			continue
		}
		next.Shards[dc] = l.shards
		for n := range l.shards {
			if isNew {
				next.Homes = append(next.Homes, shardName(dc, n))
			}
		}
	}
}

// marshal returns the layout as peers send it to a VM that starts while the store is
// down, or nil if it is unknown.
func (l *layouts) marshal() []byte {
	current := l.get()
	if current == nil {
		return nil
	}
	body, err := json.Marshal(current)
	if err != nil {
		return nil
	}
	return body
}

// adopt uses the layout that a peer sent, unless one is already known.
func (l *layouts) adopt(raw []byte) {
	var next layout
	if l.get() != nil || json.Unmarshal(raw, &next) != nil || len(next.Homes) == 0 {
		return
	}
	l.current.Store(&next)
}
