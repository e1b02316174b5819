package main

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/fleet"
	"limpethitch.example/core/policy"
	"limpethitch.example/stand/bckend"
	"limpethitch.example/stand/standkv"
	"limpethitch.example/stand/wrkr"
)

const (
	token  = "demo-operator-token"
	secret = "demo-secret-of-the-entry-vms"
	// Offsets from a deployment's first port.
	portKV, portVMs, portHTTP, portPeer, portWorkers, portBackends = 0, 1, 100, 200, 400, 800
	perDataCentre                                                  = 100
)

// deployment is examples/NAME/deployment.json.
type deployment struct {
	Name     string `json:"name"`
	PortBase int    `json:"port_base"`
	Service  string `json:"service"`
	Rack     int    `json:"workers_per_rack"`
	DCs      []struct {
		Name     string `json:"name"`
		Entry    int    `json:"entry_vms"`
		Workers  int    `json:"workers"`
		Backends int    `json:"backends"`
	} `json:"data_centres"`
	Worker struct {
		CPUMilli  int64 `json:"cpu_milli"`
		MemoryMiB int64 `json:"memory_mib"`
	} `json:"worker"`
	Backend struct {
		Slots       int `json:"slots"`
		Connections int `json:"connections"`
	} `json:"backend"`
	Load struct {
		Interactive []interactiveLoad `json:"interactive"`
		Jobs        []jobLoad         `json:"jobs"`
	} `json:"load"`
}

func (d *deployment) describe() string {
	e, w, b := 0, 0, 0
	for _, dc := range d.DCs {
		e, w, b = e+dc.Entry, w+dc.Workers, b+dc.Backends
	}
	return fmt.Sprintf("%d data centres, %d entry VMs, %d workers, %d backend servers", len(d.DCs), e, w, b)
}

// entryVM is one entry process.
type entryVM struct {
	name, dc, http, peer string
	cmd                  *exec.Cmd
	// goneMS is when it was killed or told to stop, in unix ms.
	goneMS int64
}

// machine is a worker or a backend server.
type machine struct{ id, dc, addr string }

type cluster struct {
	set       settings
	dep       *deployment
	logs      string
	doc       *policy.Document
	approver  ed25519.PrivateKey
	approvers string
	secrets   map[string]string
	workers   []machine
	backends  []machine

	mu      sync.Mutex
	entries []*entryVM
	procs   []*exec.Cmd
}

func newCluster(set settings, name string) (*cluster, error) {
	c := &cluster{set: set, secrets: map[string]string{}}
	dir := filepath.Join(set.Examples, name)
	raw, err := os.ReadFile(filepath.Join(dir, "deployment.json"))
	if err != nil {
		return nil, err
	}
	c.dep = &deployment{}
	if err := json.Unmarshal(raw, c.dep); err != nil {
		return nil, err
	}
	raw, err = os.ReadFile(filepath.Join(dir, "bundle.json"))
	if err != nil {
		return nil, err
	}
	if c.doc, err = policy.Decode(raw); err != nil {
		return nil, err
	}
	for i := range c.doc.Teams {
		t := &c.doc.Teams[i]
		k, err := policy.NewKey(t.Name+"-1", rand.Reader)
		if err != nil {
			return nil, err
		}
		t.Keys = append(t.Keys, k.Doc())
		c.secrets[t.Name] = k.Secret()
	}
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	c.approver, c.approvers = priv, "demo="+base64.StdEncoding.EncodeToString(pub)
	if c.logs = set.Logs; c.logs == "" {
		if c.logs, err = os.MkdirTemp("", "limpethitch-"+name+"-"); err != nil {
			return nil, err
		}
	}
	c.logs = filepath.Join(c.logs, name)
	return c, os.MkdirAll(c.logs, 0o755)
}

func (c *cluster) addr(offset int) string {
	return "127.0.0.1:" + strconv.Itoa(c.dep.PortBase+offset)
}

func (c *cluster) spawn(log, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(c.logs, log+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(c.set.Bin, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel ends the child when this process dies, so none is left behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() { _ = cmd.Wait() }()
	c.mu.Lock()
	c.procs = append(c.procs, cmd)
	c.mu.Unlock()
	return cmd, nil
}

func (c *cluster) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.procs {
		_ = p.Process.Kill()
	}
}

func (c *cluster) start(ctx context.Context) error {
	if _, err := c.spawn("kv", "stand", "kv", "--listen", c.addr(portKV)); err != nil {
		return err
	}
	if _, err := c.spawn("vms", "stand", "vms", "--listen", c.addr(portVMs)); err != nil {
		return err
	}
	for i, dc := range c.dep.DCs {
		first := portWorkers + i*perDataCentre
		if _, err := c.spawn("workers-"+dc.Name, "stand", "worker", "--id", "w-"+dc.Name, "--count", strconv.Itoa(dc.Workers),
			"--listen", c.addr(first), "--cpu-milli", strconv.FormatInt(c.dep.Worker.CPUMilli, 10),
			"--memory-mib", strconv.FormatInt(c.dep.Worker.MemoryMiB, 10)); err != nil {
			return err
		}
		firstBackend := portBackends + i*perDataCentre
		if _, err := c.spawn("backends-"+dc.Name, "stand", "backend", "--id", "b-"+dc.Name, "--count", strconv.Itoa(dc.Backends),
			"--service", c.dep.Service, "--listen", c.addr(firstBackend), "--slots", strconv.Itoa(c.dep.Backend.Slots),
			"--connections", strconv.Itoa(c.dep.Backend.Connections)); err != nil {
			return err
		}
		for n := range dc.Workers {
			c.workers = append(c.workers, machine{id: fmt.Sprintf("w-%s-%d", dc.Name, n+1), dc: dc.Name, addr: c.addr(first + n)})
		}
		for n := range dc.Backends {
			c.backends = append(c.backends, machine{id: fmt.Sprintf("b-%s-%d", dc.Name, n+1), dc: dc.Name, addr: c.addr(firstBackend + n)})
		}
	}
	if err := c.awaitUp(ctx, c.addr(portVMs), "/vms"); err != nil {
		return err
	}
	if err := c.register(); err != nil {
		return err
	}
	for i, dc := range c.dep.DCs {
		for n := range dc.Entry {
			e := &entryVM{
				name: fmt.Sprintf("e-%s-%d", dc.Name, n+1), dc: dc.Name,
				http: c.addr(portHTTP + i*10 + n), peer: c.addr(portPeer + i*10 + n),
			}
			if err := c.startEntry(e); err != nil {
				return err
			}
			c.entries = append(c.entries, e)
		}
	}
	return c.firstBundle(ctx)
}

func (c *cluster) register() error {
	for i, w := range c.workers {
		if err := c.list(w.id, w.addr, map[string]string{
			"role": "worker", "data_centre": w.dc, "rack": fmt.Sprintf("%s-r%d", w.dc, i/c.dep.Rack),
			"cpu_milli":  strconv.FormatInt(c.dep.Worker.CPUMilli, 10),
			"memory_mib": strconv.FormatInt(c.dep.Worker.MemoryMiB, 10),
		}); err != nil {
			return err
		}
	}
	for _, b := range c.backends {
		if err := c.list(b.id, b.addr, map[string]string{
			"role": "backend", "data_centre": b.dc, "service": c.dep.Service,
			"slots": strconv.Itoa(c.dep.Backend.Slots), "connections": strconv.Itoa(c.dep.Backend.Connections),
		}); err != nil {
			return err
		}
	}
	return nil
}

// list puts a VM on the platform's list.
func (c *cluster) list(id, addr string, labels map[string]string) error {
	labels["id"] = id
	body, err := json.Marshal(fleet.Group{Targets: []string{addr}, Labels: labels})
	if err != nil {
		return err
	}
	_, _, err = call(fasthttp.MethodPut, "http://"+c.addr(portVMs)+"/vms/"+id, body, "")
	return err
}

func (c *cluster) startEntry(e *entryVM) error {
	if err := c.list(e.name, e.peer, map[string]string{"role": "entry", "data_centre": e.dc}); err != nil {
		return err
	}
	cmd, err := c.spawn(e.name, "entry", "--name", e.name, "--data-centre", e.dc, "--listen", e.http, "--peer", e.peer,
		"--store", "http://"+c.addr(portKV), "--vms", "http://"+c.addr(portVMs)+"/vms", "--secret", secret,
		"--approvers", c.approvers, "--token", token)
	e.cmd = cmd
	return err
}

func (c *cluster) awaitUp(ctx context.Context, addr, path string) error {
	for range 100 {
		if _, _, err := call(fasthttp.MethodGet, "http://"+addr+path, nil, ""); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return fmt.Errorf("%s does not answer", addr)
}

// awaitReady waits until every entry VM passes its readiness check.
func (c *cluster) awaitReady(ctx context.Context) error {
	for range 200 {
		ready := 0
		for _, e := range c.live() {
			if status, _, err := call(fasthttp.MethodGet, "http://"+e.http+"/readyz", nil, ""); err == nil && status == fasthttp.StatusOK {
				ready++
			}
		}
		if ready == len(c.live()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return fmt.Errorf("not all entry VMs are ready after 10 s")
}

func (c *cluster) firstBundle(ctx context.Context) error {
	if err := c.awaitUp(ctx, c.live()[0].http, "/healthz"); err != nil {
		return err
	}
	if _, err := c.publish(ctx, func(*policy.Document) {}, 0); err != nil {
		return err
	}
	if err := c.awaitReady(ctx); err != nil {
		return err
	}
	// Workers and shards have to be known before the load starts.
	time.Sleep(3 * time.Second)
	return nil
}

func (c *cluster) live() []*entryVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*entryVM
	for _, e := range c.entries {
		if e.goneMS == 0 {
			out = append(out, e)
		}
	}
	return out
}

// publish rolls a changed bundle out and returns how long it took to be in force.
func (c *cluster) publish(ctx context.Context, change func(*policy.Document), basedOn int64) (time.Duration, error) {
	change(c.doc)
	c.doc.Version = basedOn + 1
	body, err := json.Marshal(c.doc)
	if err != nil {
		return 0, err
	}
	s := &policy.Signed{Bundle: body}
	s.Sign("demo", c.approver)
	raw, err := json.Marshal(s)
	if err != nil {
		return 0, err
	}
	e := c.live()[0]
	began := time.Now()
	status, reply, err := call(fasthttp.MethodPost, fmt.Sprintf("http://%s/v1/bundles?if_version=%d", e.http, basedOn), raw, token)
	if err != nil || status != fasthttp.StatusAccepted {
		return 0, fmt.Errorf("publish version %d: status %d %s: %w", c.doc.Version, status, reply, err)
	}
	for time.Since(began) < 30*time.Second {
		_, reply, err := call(fasthttp.MethodGet, fmt.Sprintf("http://%s/v1/rollouts/%d", e.http, c.doc.Version), nil, token)
		var r struct {
			InForce bool `json:"in_force"`
		}
		if err == nil && json.Unmarshal(reply, &r) == nil && r.InForce {
			return time.Since(began), nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return 0, fmt.Errorf("version %d is not in force after 30 s", c.doc.Version)
}

// call makes one HTTP call of the demo itself.
func call(method, url string, body []byte, bearer string) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	if bearer != "" {
		req.Header.Set("Authorization", "Bearer "+bearer)
	}
	req.SetBodyRaw(body)
	err := fasthttp.DoTimeout(req, resp, 10*time.Second)
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), err
}

// records are what the stand-ins saw.
type records struct {
	workers  []wrkr.Stats
	backends []bckend.Stats
	store    standkv.Stats
}

func (c *cluster) records() (*records, error) {
	r := &records{}
	read := func(addr string, into any) error {
		_, body, err := call(fasthttp.MethodGet, "http://"+addr+"/control/stats", nil, "")
		if err != nil {
			return err
		}
		return json.Unmarshal(body, into)
	}
	for _, w := range c.workers {
		var s wrkr.Stats
		if err := read(w.addr, &s); err != nil {
			return nil, err
		}
		r.workers = append(r.workers, s)
	}
	for _, b := range c.backends {
		var s bckend.Stats
		if err := read(b.addr, &s); err != nil {
			return nil, err
		}
		r.backends = append(r.backends, s)
	}
	return r, read(c.addr(portKV), &r.store)
}
