package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	appendWait = 5 * time.Second
	readGrace  = 5 * time.Second
	pageBytes  = 64 << 20
)

// Client implements Log over HTTP with JSON.
type Client struct {
	url  string
	http *fasthttp.Client
}

// NewClient returns a client of one stream at an address.
func NewClient(at netip.AddrPort, stream string) *Client {
	return &Client{
		url:  fmt.Sprintf("http://%s/streams/%s", at, stream),
		http: &fasthttp.Client{MaxResponseBodySize: pageBytes, MaxIdleConnDuration: time.Second, MaxIdemponentCallAttempts: 1},
	}
}

type appended struct {
	Offset int64 `json:"offset"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, data []byte) (int64, error) {
	code, body, err := c.do(ctx, fasthttp.MethodPost, c.url, data, appendWait)
	switch {
	case err != nil && errors.Is(err, fasthttp.ErrDialTimeout):
		return 0, fmt.Errorf("append: %w", ErrDown)
	case err != nil:
		return 0, fmt.Errorf("append: %w: %w", ErrUnsure, err)
	case code == fasthttp.StatusTooManyRequests:
		return 0, fmt.Errorf("append: %w", ErrBusy)
	case code == fasthttp.StatusServiceUnavailable:
		return 0, fmt.Errorf("append: %w", ErrDown)
	case code != fasthttp.StatusOK:
		return 0, fmt.Errorf("append: status %d: %w", code, ErrUnsure)
	}
	var a appended
	if err := json.Unmarshal(body, &a); err != nil {
		return 0, fmt.Errorf("append: %w: %w", ErrUnsure, err)
	}
	return a.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	url := fmt.Sprintf("%s?from=%d&wait=%s", c.url, from, wait)
	code, body, err := c.do(ctx, fasthttp.MethodGet, url, nil, wait+readGrace)
	if err != nil {
		return Page{}, fmt.Errorf("read from %d: %w", from, err)
	}
	if code != fasthttp.StatusOK {
		return Page{}, fmt.Errorf("read from %d: status %d: %w", from, code, ErrDown)
	}
	var p Page
	if err := json.Unmarshal(body, &p); err != nil {
		return Page{}, fmt.Errorf("read from %d: %w", from, err)
	}
	return p, nil
}

func (c *Client) do(ctx context.Context, method, url string, body []byte, wait time.Duration) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	req.SetBodyRaw(body)
	if at, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(at))
	}
	if err := c.http.DoTimeout(req, resp, wait); err != nil {
		return 0, nil, fmt.Errorf("%s log: %w", method, err)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
