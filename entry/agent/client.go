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

// Config holds the settings of a Client.
type Config struct {
	// CallTimeout limits the duration of one call. The default is 2 seconds.
	CallTimeout time.Duration
	// MaxConns limits the connections to one worker. The default is 16.
	MaxConns int
}

// Defaults replaces zero values with the default settings.
func (c *Config) Defaults() {
	if c.CallTimeout == 0 {
		c.CallTimeout = 2 * time.Second
	}
	if c.MaxConns == 0 {
		c.MaxConns = 16
	}
}

// maxReply is the largest accepted reply in bytes. A list of several thousand
// tasks fits.
const maxReply = 16 << 20

// Client implements Worker with JSON over HTTP. It is safe for concurrent use.
type Client struct {
	cfg Config
	cli *fasthttp.Client
}

var _ Worker = (*Client)(nil)

// errDial marks the error of a call that failed to connect, so that nothing was
// sent.
var errDial = errors.New("dial")

// New returns a client. It opens connections on demand.
func New(cfg Config) *Client {
	cfg.Defaults()
	return &Client{cfg: cfg, cli: &fasthttp.Client{
		MaxConnsPerHost:          cfg.MaxConns,
		MaxConnWaitTimeout:       cfg.CallTimeout,
		MaxResponseBodySize:      maxReply,
		NoDefaultUserAgentHeader: true,
		DisablePathNormalizing:   true,
		// Retries are off: a repeated start could run a task that was stopped in
		// the meantime.
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

// Renew implements Worker. It fails if any part of the list cannot be parsed:
// after a takeover, a task that is missing from the list would be started a
// second time.
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
		return nil, rcode.New(rcode.OutcomeUnknown, "agent.Renew %s: reply has no task list", addr)
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
	return c.sendAction(ctx, addr, id, "checkpoint")
}

// Throttle implements Worker.
func (c *Client) Throttle(ctx context.Context, addr, id string) error {
	return c.sendAction(ctx, addr, id, "throttle")
}

// Resume implements Worker.
func (c *Client) Resume(ctx context.Context, addr, id string) error {
	return c.sendAction(ctx, addr, id, "resume")
}

// Stop implements Worker.
func (c *Client) Stop(ctx context.Context, addr, id string) error {
	return c.sendAction(ctx, addr, id, "stop")
}

// sendAction sends the order for an action on a task, such as "stop".
func (c *Client) sendAction(ctx context.Context, addr, id, action string) error {
	status, _, err := c.call(ctx, addr, "/v1/tasks/"+id+"/"+action, nil)
	if err != nil {
		return err
	}
	switch status {
	case fasthttp.StatusAccepted:
		return nil
	case fasthttp.StatusNotFound:
		return rcode.New(rcode.JobUnknown, "agent.%s %s: task not found on the worker", action, id)
	}
	return rcode.New(rcode.OutcomeUnknown, "agent.%s %s: status %d", action, id, status)
}

// call sends one request and returns the status and body of the reply.
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

// failureCode returns PeerUnreachable if the call was certainly not sent, and
// OutcomeUnknown if it may have been.
func failureCode(err error) rcode.Code {
	if errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return rcode.PeerUnreachable
	}
	return rcode.OutcomeUnknown
}

// startError converts the HTTP status of a start to an error. The outcome is
// unknown for a status that the protocol does not define, since the worker may
// have started the task.
func startError(status int, id string) error {
	switch status {
	case fasthttp.StatusCreated:
		return nil
	case fasthttp.StatusBadRequest:
		return rcode.New(rcode.BadRequest, "agent.Start %s: malformed request", id)
	case fasthttp.StatusConflict:
		return rcode.New(rcode.IDReused, "agent.Start %s: the worker already lists a task with this id", id)
	case fasthttp.StatusGone:
		return rcode.New(rcode.DeadlinePassed, "agent.Start %s: the lease has expired", id)
	}
	return rcode.New(rcode.OutcomeUnknown, "agent.Start %s: status %d", id, status)
}
