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
	// Offsets from the first port of a deployment.
	portKV, portVMs, portHTTP, portPeer, portWorkers, portBackends = 0, 1, 100, 200, 400, 800
	portsPerDataCentre                                             = 100
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

// entryVM is the process of one entry VM.
type entryVM struct {
	name, dc, http, peer string
	cmd                  *exec.Cmd
	// endedMS is the Unix time in ms at which it was killed or asked to stop, or 0.
	endedMS int64
}

// serverVM is a worker or a backend server.
type serverVM struct{ id, dc, addr string }

// cluster holds the processes and the settings of one running deployment.
type cluster struct {
	settings   settings
	deployment *deployment
	logs       string
	document   *policy.Document
	approver   ed25519.PrivateKey
	approvers  string
	secrets    map[string]string
	workers    []serverVM
	backends   []serverVM

	mu      sync.Mutex
	entries []*entryVM
	procs   []*exec.Cmd
}

func newCluster(set settings, name string) (*cluster, error) {
	c := &cluster{settings: set, secrets: map[string]string{}}
	dir := filepath.Join(set.Examples, name)
	raw, err := os.ReadFile(filepath.Join(dir, "deployment.json"))
	if err != nil {
		return nil, err
	}
	c.deployment = &deployment{}
	if err := json.Unmarshal(raw, c.deployment); err != nil {
		return nil, err
	}
	raw, err = os.ReadFile(filepath.Join(dir, "bundle.json"))
	if err != nil {
		return nil, err
	}
	if c.document, err = policy.Decode(raw); err != nil {
		return nil, err
	}
	for i := range c.document.Teams {
		t := &c.document.Teams[i]
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
	return "127.0.0.1:" + strconv.Itoa(c.deployment.PortBase+offset)
}

func (c *cluster) startProcess(log, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(c.logs, log+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(c.settings.Bin, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the child when this process ends, so that none is left running.
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

func (c *cluster) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.procs {
		_ = p.Process.Kill()
	}
}

func (c *cluster) start(ctx context.Context) error {
	if _, err := c.startProcess("kv", "stand", "kv", "--listen", c.addr(portKV)); err != nil {
		return err
	}
	if _, err := c.startProcess("vms", "stand", "vms", "--listen", c.addr(portVMs)); err != nil {
		return err
	}
	for i, dc := range c.deployment.DCs {
		first := portWorkers + i*portsPerDataCentre
		if _, err := c.startProcess("workers-"+dc.Name, "stand", "worker", "--id", "w-"+dc.Name, "--count", strconv.Itoa(dc.Workers),
			"--listen", c.addr(first), "--cpu-milli", strconv.FormatInt(c.deployment.Worker.CPUMilli, 10),
			"--memory-mib", strconv.FormatInt(c.deployment.Worker.MemoryMiB, 10)); err != nil {
			return err
		}
		firstBackend := portBackends + i*portsPerDataCentre
		if _, err := c.startProcess("backends-"+dc.Name, "stand", "backend", "--id", "b-"+dc.Name, "--count", strconv.Itoa(dc.Backends),
			"--service", c.deployment.Service, "--listen", c.addr(firstBackend), "--slots", strconv.Itoa(c.deployment.Backend.Slots),
			"--connections", strconv.Itoa(c.deployment.Backend.Connections)); err != nil {
			return err
		}
		for n := range dc.Workers {
			c.workers = append(c.workers, serverVM{id: fmt.Sprintf("w-%s-%d", dc.Name, n+1), dc: dc.Name, addr: c.addr(first + n)})
		}
		for n := range dc.Backends {
			c.backends = append(c.backends, serverVM{id: fmt.Sprintf("b-%s-%d", dc.Name, n+1), dc: dc.Name, addr: c.addr(firstBackend + n)})
		}
	}
	if err := c.waitReachable(ctx, c.addr(portVMs), "/vms"); err != nil {
		return err
	}
	if err := c.registerServers(); err != nil {
		return err
	}
	for i, dc := range c.deployment.DCs {
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
	return c.publishInitialBundle(ctx)
}

func (c *cluster) registerServers() error {
	for i, w := range c.workers {
		if err := c.registerVM(w.id, w.addr, map[string]string{
			"role": "worker", "data_centre": w.dc, "rack": fmt.Sprintf("%s-r%d", w.dc, i/c.deployment.Rack),
			"cpu_milli":  strconv.FormatInt(c.deployment.Worker.CPUMilli, 10),
			"memory_mib": strconv.FormatInt(c.deployment.Worker.MemoryMiB, 10),
		}); err != nil {
			return err
		}
	}
	for _, b := range c.backends {
		if err := c.registerVM(b.id, b.addr, map[string]string{
			"role": "backend", "data_centre": b.dc, "service": c.deployment.Service,
			"slots": strconv.Itoa(c.deployment.Backend.Slots), "connections": strconv.Itoa(c.deployment.Backend.Connections),
		}); err != nil {
			return err
		}
	}
	return nil
}

// registerVM adds a VM to the platform's list.
func (c *cluster) registerVM(id, addr string, labels map[string]string) error {
	labels["id"] = id
	body, err := json.Marshal(fleet.Group{Targets: []string{addr}, Labels: labels})
	if err != nil {
		return err
	}
	_, _, err = call(fasthttp.MethodPut, "http://"+c.addr(portVMs)+"/vms/"+id, body, "")
	return err
}

func (c *cluster) startEntry(e *entryVM) error {
	if err := c.registerVM(e.name, e.peer, map[string]string{"role": "entry", "data_centre": e.dc}); err != nil {
		return err
	}
	cmd, err := c.startProcess(e.name, "entry", "--name", e.name, "--data-centre", e.dc, "--listen", e.http, "--peer", e.peer,
		"--store", "http://"+c.addr(portKV), "--vms", "http://"+c.addr(portVMs)+"/vms", "--secret", secret,
		"--approvers", c.approvers, "--token", token)
	e.cmd = cmd
	return err
}

func (c *cluster) waitReachable(ctx context.Context, addr, path string) error {
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
	return fmt.Errorf("%s does not respond", addr)
}

// waitReady waits until every entry VM passes its readiness check.
func (c *cluster) waitReady(ctx context.Context) error {
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

func (c *cluster) publishInitialBundle(ctx context.Context) error {
	if err := c.waitReachable(ctx, c.live()[0].http, "/healthz"); err != nil {
		return err
	}
	if _, err := c.publish(ctx, func(*policy.Document) {}, 0); err != nil {
		return err
	}
	if err := c.waitReady(ctx); err != nil {
		return err
	}
	// Give the owners time to acquire the shards and discover the workers before the
	// load starts.
	time.Sleep(3 * time.Second)
	return nil
}

func (c *cluster) live() []*entryVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*entryVM
	for _, e := range c.entries {
		if e.endedMS == 0 {
			out = append(out, e)
		}
	}
	return out
}

// publish applies change to the bundle, rolls it out as the version after baseVersion
// and returns the time until it was in force.
func (c *cluster) publish(ctx context.Context, change func(*policy.Document), baseVersion int64) (time.Duration, error) {
	change(c.document)
	c.document.Version = baseVersion + 1
	body, err := json.Marshal(c.document)
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
	start := time.Now()
	status, reply, err := call(fasthttp.MethodPost, fmt.Sprintf("http://%s/v1/bundles?if_version=%d", e.http, baseVersion), raw, token)
	if err != nil || status != fasthttp.StatusAccepted {
		return 0, fmt.Errorf("publish version %d: status %d %s: %w", c.document.Version, status, reply, err)
	}
	for time.Since(start) < 30*time.Second {
		_, reply, err := call(fasthttp.MethodGet, fmt.Sprintf("http://%s/v1/rollouts/%d", e.http, c.document.Version), nil, token)
		var r struct {
			InForce bool `json:"in_force"`
		}
		if err == nil && json.Unmarshal(reply, &r) == nil && r.InForce {
			return time.Since(start), nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return 0, fmt.Errorf("version %d is not in force after 30 s", c.document.Version)
}

// call makes one HTTP call to a process of the deployment.
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

// records holds the stats of the stand-ins.
type records struct {
	workers  []wrkr.Stats
	backends []bckend.Stats
	store    standkv.Stats
}

func (c *cluster) collectRecords() (*records, error) {
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
