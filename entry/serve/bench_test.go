package serve_test

import (
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"limpethitch.example/core/rcode"
	"limpethitch.example/stand/bckend"
)

// BenchmarkPath measures what an entry VM adds to a call of the same backend
// servers: 24 requests of 2 ms at once on 48 slots. All processes share this
// machine.
func BenchmarkPath(b *testing.B) {
	s := newSite(b)
	s.open()
	direct := s.listen(bckend.New(bckend.Config{ID: "direct", Service: "issuing", Slots: 64}, s.clk))
	cli := &fasthttp.HostClient{Addr: direct, MaxConns: 64}
	calls := map[string]func(i int) bool{
		"direct": func(i int) bool {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(req)
			defer fasthttp.ReleaseResponse(resp)
			req.SetRequestURI("http://" + direct + "/?work_ms=2")
			req.Header.SetMethod(fasthttp.MethodPost)
			req.Header.Set("X-Request-Id", strconv.Itoa(i))
			req.SetBodyString("body")
			return cli.Do(req, resp) == nil && resp.StatusCode() == fasthttp.StatusOK
		},
		"entry":           func(i int) bool { return s.bench("", i) },
		"entry-caller-id": func(i int) bool { return s.bench(uuid.Must(uuid.NewV7()).String(), i) },
	}
	for _, name := range []string{"direct", "entry", "entry-caller-id"} {
		b.Run(name, func(b *testing.B) { measure(b, calls[name]) })
	}
}

func (s *site) bench(id string, i int) bool {
	return s.sendWork(id, id == "", strconv.Itoa(i), 2).Code() == rcode.OK
}

// measure runs b.N calls, 24 at a time, and reports their latency.
func measure(b *testing.B, call func(i int) bool) {
	const atOnce = 24
	var mu sync.Mutex
	took := make([]time.Duration, 0, b.N)
	next := make(chan int)
	var wg sync.WaitGroup
	for range atOnce {
		wg.Go(func() {
			for i := range next {
				begun := time.Now()
				if !call(i) {
					b.Error("call failed")
				}
				mu.Lock()
				took = append(took, time.Since(begun))
				mu.Unlock()
			}
		})
	}
	for i := range b.N {
		next <- i
	}
	close(next)
	wg.Wait()
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
}
