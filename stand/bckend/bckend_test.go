package bckend_test

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"limpethitch.example/core/clock"
	"limpethitch.example/stand/bckend"
	"limpethitch.example/stand/httpd"
)

func serve(t *testing.T, cfg bckend.Config, clk clock.Clock) (*bckend.Backend, string) {
	t.Helper()
	b := bckend.New(cfg, clk)
	ln, err := httpd.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = b.Serve(ln) }()
	t.Cleanup(func() { _ = b.Close() })
	return b, ln.Addr().String()
}

type answer struct {
	Status            int
	ID, Outcome, Body string
}

func post(cli *fasthttp.Client, addr, id, body string, workMS int) (answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(bckend.HeaderID, id)
	req.Header.Set(bckend.HeaderWork, strconv.Itoa(workMS))
	req.SetBodyString(body)
	err := cli.Do(req, resp)
	return answer{
		resp.StatusCode(), string(resp.Header.Peek(bckend.HeaderID)),
		string(resp.Header.Peek(bckend.HeaderOutcome)), string(resp.Body()),
	}, err
}

func client() *fasthttp.Client {
	return &fasthttp.Client{RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
}

// Guards against a response that a caller cannot tell from another's.
func TestAnswer(t *testing.T) {
	b, addr := serve(t, bckend.Config{ID: "b1"}, clock.New())
	got, err := post(client(), addr, "r1", "hello", 0)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(answer{Status: 200, ID: "r1", Body: "r1\nhello"}, got); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(map[string]int{"r1": 1}, b.Stats().Runs); d != "" {
		t.Error(d)
	}
}
