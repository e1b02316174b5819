package agent

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/rcode"
)

// Config holds the settings of the client.
type Config struct {
	// CallTimeout bounds one call; 0 means 2 s.
	CallTimeout time.Duration
	// MaxConns bounds the connections to one worker; 0 means 16.
	MaxConns int
}

// Defaults sets what was left empty.
func (c *Config) Defaults() {
	if c.CallTimeout == 0 {
		c.CallTimeout = 2 * time.Second
	}
	if c.MaxConns == 0 {
		c.MaxConns = 16
	}
}

// maxReply bounds a reply in bytes: several thousand tasks.
const maxReply = 16 << 20

// Client speaks the worker protocol over HTTP with JSON.
type Client struct {
	cfg Config
	cli *fasthttp.Client
}

var _ Worker = (*Client)(nil)

// errDial marks a call that had no connection, so that nothing was sent.
var errDial = errors.New("dial")

// New returns a client; it connects at the first call.
func New(cfg Config) *Client {
	cfg.Defaults()
	return &Client{cfg: cfg, cli: &fasthttp.Client{
		MaxConnsPerHost:          cfg.MaxConns,
		MaxConnWaitTimeout:       cfg.CallTimeout,
		MaxResponseBodySize:      maxReply,
		NoDefaultUserAgentHeader: true,
		DisablePathNormalizing:   true,
		// A start that is sent again could run after it was stopped.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			c, err := fasthttp.DialTimeout(addr, cfg.CallTimeout)
			if err != nil {
				return nil, errors.Mark(err, errDial)
			}
			return c, nil
		},
	}}
}

type startRequest struct {
	ID           string     `json:"id"`
	Attempt      int64      `json:"attempt"`
	Job          string     `json:"job"`
	Team         string     `json:"team"`
	Size         amount.Vec `json:"size"`
	LeaseUnixMS  int64      `json:"lease_unix_ms"`
	CheckpointMS int64      `json:"checkpoint_ms,omitempty"`
	Payload      []byte     `json:"payload,omitempty"`
}

// Start implements Worker.
func (c *Client) Start(ctx context.Context, addr string, t Task) error {
	status, _, err := c.call(ctx, addr, "/v1/tasks", startRequest{
		ID: t.id, Attempt: t.attempt, Job: t.job, Team: t.team, Size: t.size, LeaseUnixMS: t.lease.UnixMilli(),
		CheckpointMS: t.checkpointMS, Payload: t.payload,
	})
	if err != nil {
		return err
	}
	return startError(status, t.id)
}

type renewRequest struct {
	LeaseUnixMS int64    `json:"lease_unix_ms"`
	Tasks       []string `json:"tasks,omitempty"`
	Ack         []string `json:"ack,omitempty"`
}

type listReply struct {
	Tasks []statusReply `json:"tasks"`
}

type statusReply struct {
	ID            string     `json:"id"`
	Attempt       int64      `json:"attempt"`
	Job           string     `json:"job"`
	Team          string     `json:"team"`
	Size          amount.Vec `json:"size"`
	State         State      `json:"state"`
	LeaseUnixMS   int64      `json:"lease_unix_ms"`
	Used          amount.Vec `json:"used"`
	UsedAgeMS     int64      `json:"used_age_ms"`
	CheckpointMS  int64      `json:"checkpoint_ms"`
	StartedUnixMS int64      `json:"started_unix_ms"`
	EndedUnixMS   int64      `json:"ended_unix_ms"`
}

func (r statusReply) status() TaskStatus {
	s := TaskStatus{
		id: r.ID, job: r.Job, team: r.Team, attempt: r.Attempt, size: r.Size, used: r.Used, usedAgeMS: r.UsedAgeMS,
		state: r.State, checkpointMS: r.CheckpointMS, lease: time.UnixMilli(r.LeaseUnixMS),
		started: time.UnixMilli(r.StartedUnixMS),
	}
	if r.EndedUnixMS != 0 {
		s.ended = time.UnixMilli(r.EndedUnixMS)
	}
	return s
}

// Renew implements Worker. A list that cannot be read as a whole is an error:
// a takeover would start the tasks that it misses a second time.
func (c *Client) Renew(ctx context.Context, addr string, lease time.Time, ids, ack []string) ([]TaskStatus, error) {
	req := renewRequest{LeaseUnixMS: lease.UnixMilli(), Tasks: ids, Ack: ack}
	status, body, err := c.call(ctx, addr, "/v1/leases", req)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, rcode.New(rcode.OutcomeUnknown, "agent.Renew %s: status %d", addr, status)
	}
	var list listReply
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, rcode.Wrap(err, rcode.OutcomeUnknown, "agent.Renew %s", addr)
	}
	if list.Tasks == nil {
		return nil, rcode.New(rcode.OutcomeUnknown, "agent.Renew %s: no list of tasks", addr)
	}
	out := make([]TaskStatus, 0, len(list.Tasks))
	for _, t := range list.Tasks {
		if t.ID == "" || !t.State.known() {
			return nil, rcode.New(rcode.OutcomeUnknown, "agent.Renew %s: task %q has state %q", addr, t.ID, t.State)
		}
		out = append(out, t.status())
	}
	return out, nil
}

// Checkpoint implements Worker.
func (c *Client) Checkpoint(ctx context.Context, addr, id string) error {
	return c.act(ctx, addr, id, "checkpoint")
}

// Throttle implements Worker.
func (c *Client) Throttle(ctx context.Context, addr, id string) error {
	return c.act(ctx, addr, id, "throttle")
}

// Resume implements Worker.
func (c *Client) Resume(ctx context.Context, addr, id string) error {
	return c.act(ctx, addr, id, "resume")
}

// Stop implements Worker.
func (c *Client) Stop(ctx context.Context, addr, id string) error {
	return c.act(ctx, addr, id, "stop")
}

func (c *Client) act(ctx context.Context, addr, id, action string) error {
	status, _, err := c.call(ctx, addr, "/v1/tasks/"+id+"/"+action, nil)
	if err != nil {
		return err
	}
	switch status {
	case fasthttp.StatusAccepted:
		return nil
	case fasthttp.StatusNotFound:
		return rcode.New(rcode.JobUnknown, "agent.%s %s: the worker holds no such task", action, id)
	}
	return rcode.New(rcode.OutcomeUnknown, "agent.%s %s: status %d", action, id, status)
}

func (c *Client) call(ctx context.Context, addr, path string, in any) (int, []byte, error) {
	if err := ctx.Err(); err != nil {
		return 0, nil, rcode.Wrap(err, rcode.PeerUnreachable, "agent.call %s%s", addr, path)
	}
	deadline := time.Now().Add(c.cfg.CallTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return 0, nil, rcode.Wrap(err, rcode.Internal, "agent.call")
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.cli.DoDeadline(req, resp, deadline); err != nil {
		return 0, nil, rcode.Wrap(err, failureCode(err), "agent.call %s%s", addr, path)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// failureCode tells a call that was never sent from one that may have been.
func failureCode(err error) rcode.Code {
	if errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return rcode.PeerUnreachable
	}
	return rcode.OutcomeUnknown
}

// startError: a status that the protocol does not name may come from a worker
// that began the task.
func startError(status int, id string) error {
	switch status {
	case fasthttp.StatusCreated:
		return nil
	case fasthttp.StatusBadRequest:
		return rcode.New(rcode.BadRequest, "agent.Start %s: refused as malformed", id)
	case fasthttp.StatusConflict:
		return rcode.New(rcode.IDReused, "agent.Start %s: the id runs or ended there", id)
	case fasthttp.StatusGone:
		return rcode.New(rcode.DeadlinePassed, "agent.Start %s: the lease has passed", id)
	}
	return rcode.New(rcode.OutcomeUnknown, "agent.Start %s: status %d", id, status)
}
