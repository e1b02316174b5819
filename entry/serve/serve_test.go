package serve_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/serve"
	"limpethitch.example/stand/bckend"
	"limpethitch.example/stand/caller"
	"limpethitch.example/stand/httpd"
	"limpethitch.example/stand/standkv"
	"limpethitch.example/stand/vmlist"
	"limpethitch.example/stand/wrkr"
)

const (
	token = "operator-token-of-the-test"
	// within bounds each wait for something observable; it is no verdict on speed.
	within = 60 * time.Second
)

// site is two data centres of two entry VMs in this process, on loopback.
type site struct {
	t        testing.TB
	clk      clock.Clock
	kv       *standkv.Server
	kvAddr   string
	vmsAddr  string
	vms      map[string]*vm
	workers  map[string]*wrkr.Worker
	backends map[string]*bckend.Backend
	caller   *caller.Caller
	doc      *policy.Document
	key      policy.Key
	priv     ed25519.PrivateKey
	trust    string
}

type vm struct {
	http, peer string
	stop       context.CancelFunc
	ended      chan error
}

type server interface {
	Serve(ln net.Listener) error
	Close() error
}

func (s *site) listen(srv server) string {
	s.t.Helper()
	ln, err := httpd.Listen("127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }()
	s.t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

func freeAddr(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func newSite(t testing.TB) *site {
	t.Helper()
	s := &site{
		t: t, clk: clock.New(), vms: map[string]*vm{}, workers: map[string]*wrkr.Worker{}, backends: map[string]*bckend.Backend{},
	}
	s.kv = standkv.New(standkv.Config{}, s.clk)
	s.kvAddr = s.listen(s.kv)
	s.vmsAddr = s.listen(vmlist.New(vmlist.Config{Lag: time.Millisecond}, s.clk))
	for _, dc := range []string{"dc1", "dc2"} {
		for i := range 3 {
			id := fmt.Sprintf("w-%s-%d", dc, i)
			s.workers[id] = wrkr.New(wrkr.Config{ID: id, Capacity: amount.New(8000, 16000, 0, 0)}, s.clk)
			s.list(id, s.listen(s.workers[id]), map[string]string{
				"role": "worker", "data_centre": dc, "rack": "r" + strconv.Itoa(i), "cpu_milli": "8000", "memory_mib": "16000",
			})
			id = fmt.Sprintf("b-%s-%d", dc, i)
			s.backends[id] = bckend.New(bckend.Config{ID: id, Service: "issuing"}, s.clk)
			s.list(id, s.listen(s.backends[id]), map[string]string{
				"role": "backend", "data_centre": dc, "service": "issuing", "slots": "8", "connections": "64",
			})
		}
	}
	s.newBundle()
	for _, name := range []string{"e11", "e12", "e21", "e22"} {
		s.start(name)
	}
	s.caller = caller.New(caller.Config{}, s.clk)
	s.refresh()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go s.caller.Run(ctx)
	return s
}

func (s *site) newBundle() {
	s.t.Helper()
	pub, priv, err := ed25519.GenerateKey(nil)
	if err != nil {
		s.t.Fatal(err)
	}
	s.priv, s.trust = priv, "ana="+base64.StdEncoding.EncodeToString(pub)
	if s.key, err = policy.NewKey("win-1", rand.NewChaCha8([32]byte{7})); err != nil {
		s.t.Fatal(err)
	}
	s.doc = &policy.Document{
		Author:      "ana",
		DataCentres: []policy.DataCentreDoc{{Name: "dc1", InService: true}, {Name: "dc2", InService: true}},
		Teams: []policy.TeamDoc{{
			Name: "windows", Share: 1, Limit: policy.LimitDoc{CPUMilli: 40_000, MemoryMiB: 80_000, Requests: 100}, Keys: []policy.KeyDoc{s.key.Doc()},
		}},
		Queues: []policy.QueueDoc{
			{Name: "reprints", Class: policy.ClassInteractive, Service: "issuing"}, {Name: "batches", Class: policy.ClassBatch},
		},
	}
}

func (s *site) list(id, addr string, labels map[string]string) {
	s.t.Helper()
	labels["id"] = id
	body, err := json.Marshal(fleet.Group{Targets: []string{addr}, Labels: labels})
	if err != nil {
		s.t.Fatal(err)
	}
	s.call(fasthttp.MethodPut, "http://"+s.vmsAddr+"/vms/"+id, body)
}

func (s *site) call(method, url string, body []byte) (int, []byte) {
	s.t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+token)
	req.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(req, resp, within); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

func (s *site) start(name string) {
	s.t.Helper()
	v := &vm{http: freeAddr(s.t), peer: freeAddr(s.t), ended: make(chan error, 1)}
	dc := "dc" + name[1:2]
	s.list(name, v.peer, map[string]string{"role": "entry", "data_centre": dc})
	run, err := serve.New(serve.Config{
		Name: name, DataCentre: dc, Listen: v.http, Peer: v.peer, Store: "http://" + s.kvAddr, VMs: "http://" + s.vmsAddr + "/vms",
		Secret: "secret-of-the-test-cell", Approvers: s.trust, Approvals: 1, Token: token, Shards: 2, GroupMS: 20, Level: "error",
	}, s.clk, zap.NewNop())
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	go func() { v.ended <- run.Run(ctx) }()
	s.vms[name] = v
	s.t.Cleanup(stop)
}

func (s *site) refresh() {
	var addrs []string
	for _, v := range s.vms {
		addrs = append(addrs, v.http)
	}
	s.caller.SetAddrs(addrs)
	s.caller.Check()
}

// await polls until done reports true.
func (s *site) await(what string, done func() bool) {
	s.t.Helper()
	for until := time.Now().Add(within); time.Now().Before(until); {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("%s: not within %v", what, within)
}

// roll publishes the document and waits until it is in force.
func (s *site) roll(addr string) {
	s.t.Helper()
	s.doc.Version++
	body, err := json.Marshal(s.doc)
	if err != nil {
		s.t.Fatal(err)
	}
	signed := &policy.Signed{Bundle: body}
	signed.Sign("ana", s.priv)
	raw, err := json.Marshal(signed)
	if err != nil {
		s.t.Fatal(err)
	}
	s.await("publication", func() bool {
		status, _ := s.call(fasthttp.MethodPost, fmt.Sprintf("http://%s/v1/bundles?if_version=%d", addr, s.doc.Version-1), raw)
		return status == fasthttp.StatusAccepted
	})
	s.await("in force", func() bool {
		_, reply := s.call(fasthttp.MethodGet, fmt.Sprintf("http://%s/v1/rollouts/%d", addr, s.doc.Version), nil)
		var r struct {
			InForce bool `json:"in_force"`
		}
		return json.Unmarshal(reply, &r) == nil && r.InForce
	})
}

func (s *site) send(id string, repeatable bool, body string) caller.Result {
	return s.sendWork(id, repeatable, body, 0)
}

func (s *site) sendWork(id string, repeatable bool, body string, workMS int64) caller.Result {
	return s.caller.Send(s.t.Context(), caller.Request{
		Queue: "reprints", Class: "reprints", Key: s.key.Secret(), ID: id, Repeatable: repeatable, Body: []byte(body), WorkMS: workMS,
		Deadline: time.Now().Add(20 * time.Second),
	})
}

func (s *site) ready() {
	s.t.Helper()
	s.await("ready", func() bool { return s.caller.Check() == len(s.vms) })
	s.await("first response", func() bool { return s.send("", true, "first").Code() == rcode.OK })
}

func (s *site) runs(id string) int {
	n := 0
	for _, b := range s.backends {
		n += b.Stats().Runs[id]
	}
	return n
}

// open publishes the first bundle and waits until the site answers.
func (s *site) open() {
	s.t.Helper()
	first := s.vms["e11"].http
	s.await("health", func() bool {
		status, _ := s.call(fasthttp.MethodGet, "http://"+first+"/healthz", nil)
		return status == fasthttp.StatusOK
	})
	s.roll(first)
	s.ready()
}

// TestWholePath guards against parts that work alone and not together: a bundle,
// requests with and without a caller's id, jobs, an outage of the store, a data
// centre taken out, a revoked key, and the planned stop of a VM under load.
func TestWholePath(t *testing.T) {
	s := newSite(t)
	first := s.vms["e11"].http
	s.await("health", func() bool {
		status, _ := s.call(fasthttp.MethodGet, "http://"+first+"/healthz", nil)
		return status == 200
	})
	s.roll(first)
	s.ready()
	t.Run("a repeated id runs once", s.repeatedID)
	t.Run("a job ends whole", s.wholeJob)
	t.Run("store outage", s.outage)
	t.Run("planned stop", s.plannedStop)
	t.Run("data centre out", s.dataCentreOut)
	t.Run("revoked key", s.revokedKey)
	for id, w := range s.workers {
		if st := w.Stats(); !st.Peak.Fits(st.Capacity) {
			t.Errorf("%s held %v of %v", id, st.Peak, st.Capacity)
		}
	}
}

func (s *site) repeatedID(t *testing.T) {
	id := uuid.Must(uuid.NewV7()).String()
	var wg sync.WaitGroup
	codes := make([]rcode.Code, 8)
	for i := range codes {
		wg.Go(func() { codes[i] = s.send(id, false, "same body").Code() })
	}
	wg.Wait()
	want := []rcode.Code{rcode.OK, rcode.OK, rcode.OK, rcode.OK, rcode.OK, rcode.OK, rcode.OK, rcode.OK}
	if d := cmp.Diff(want, codes); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(1, s.runs(id)); d != "" {
		t.Error(d)
	}
}

func jobDoc(members int, runMS int64) map[string]any {
	return map[string]any{
		"queue": "batches", "members": members, "size": map[string]int64{"cpu_milli": 2000, "memory_mib": 1000},
		"repeatable": true, "payload": map[string]any{"run_ms": runMS},
	}
}

func (s *site) runJob(t *testing.T, doc map[string]any) string {
	t.Helper()
	j, res := s.caller.Submit(t.Context(), "job", s.key.Secret(), doc)
	if res.Err() != nil {
		t.Fatal(res.Err())
	}
	state := ""
	s.await("job", func() bool {
		got, _ := s.caller.Wait(t.Context(), "job", s.key.Secret(), j.ID, time.Now().Add(time.Second))
		state = got.State
		return state == "done" || state == "failed" || state == "unknown" || state == "cancelled"
	})
	return state
}

func (s *site) wholeJob(t *testing.T) {
	// 20 members of 2 processors do not fit the 24 of one data centre at once.
	if d := cmp.Diff("done", s.runJob(t, jobDoc(20, 200))); d != "" {
		t.Error(d)
	}
}

func (s *site) outage(t *testing.T) {
	s.kv.Set(standkv.Control{Down: true})
	defer s.kv.Set(standkv.Control{})
	mode := func() string {
		_, body := s.call(fasthttp.MethodGet, "http://"+s.vms["e11"].http+"/v1/status", nil)
		var st struct {
			Shards []struct {
				Mode string `json:"mode"`
			} `json:"shards"`
		}
		if json.Unmarshal(body, &st) != nil || len(st.Shards) == 0 {
			return ""
		}
		return st.Shards[0].Mode
	}
	s.await("standby mode", func() bool { return mode() == "standby" })
	for i := range 20 {
		if res := s.send(uuid.Must(uuid.NewV7()).String(), false, strconv.Itoa(i)); res.Code() != rcode.OK {
			t.Errorf("request during the outage: %v", res.Err())
		}
	}
	_, res := s.caller.Submit(t.Context(), "job", s.key.Secret(), jobDoc(1, 1))
	if res.Code() != rcode.StoreUnavailable && res.Code() != rcode.AcceptUnknown {
		t.Errorf("a job was answered with %s while it could not be kept", res.Code())
	}
	s.kv.Set(standkv.Control{})
	s.await("store mode", func() bool { return mode() == "store" })
}

func (s *site) plannedStop(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var mu sync.Mutex
	codes := map[rcode.Code]int{}
	for i := range 4 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				res := s.send(uuid.Must(uuid.NewV7()).String(), false, fmt.Sprintf("%d/%d", i, n))
				mu.Lock()
				codes[res.Code()]++
				mu.Unlock()
			}
		})
	}
	s.vms["e21"].stop()
	err := <-s.vms["e21"].ended
	cancel()
	wg.Wait()
	if err != nil {
		t.Error(err)
	}
	total := codes[rcode.OK]
	if d := cmp.Diff(map[rcode.Code]int{rcode.OK: total}, codes); d != "" || total == 0 {
		t.Error(d)
	}
	delete(s.vms, "e21")
	s.call(fasthttp.MethodDelete, "http://"+s.vmsAddr+"/vms/e21", nil)
	s.refresh()
}

func (s *site) dataCentreOut(t *testing.T) {
	s.doc.DataCentres[1].InService = false
	s.roll(s.vms["e11"].http)
	before := s.startsIn("dc2")
	if d := cmp.Diff("done", s.runJob(t, jobDoc(8, 50))); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(before, s.startsIn("dc2")); d != "" {
		t.Error(d)
	}
	s.doc.DataCentres[1].InService = true
	s.roll(s.vms["e11"].http)
}

func (s *site) startsIn(dc string) int {
	n := 0
	for id, w := range s.workers {
		if id[2:5] == dc {
			n += len(w.Stats().Starts)
		}
	}
	return n
}

func (s *site) revokedKey(t *testing.T) {
	s.doc.Teams[0].Keys[0].Revoked = true
	s.roll(s.vms["e11"].http)
	id := uuid.Must(uuid.NewV7()).String()
	if d := cmp.Diff(rcode.KeyRefused, s.send(id, false, "late").Code()); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(0, s.runs(id)); d != "" {
		t.Error(d)
	}
}
