// Package roster is the client of the platform's list of live and leaving VMs and
// endpoints, which lags behind.
package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"dahliawinch/internal/task/place"
)

// VM is one entry VM in the list.
type VM struct {
	Mesh    netip.AddrPort `json:"mesh"`
	Domain  string         `json:"domain"`
	Leaving bool           `json:"leaving,omitempty"`
}

// Endpoint is one endpoint in the list.
type Endpoint struct {
	place.Info
	Leaving bool `json:"leaving,omitempty"`
}

// List is the platform's list, which lags behind.
type List struct {
	VMs       []VM       `json:"vms"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Source returns the current list.
type Source interface {
	List(ctx context.Context) (List, error)
}

const listWait = 3 * time.Second

// Client fetches the list over HTTP with JSON.
type Client struct {
	url  string
	http *fasthttp.Client
}

// NewClient returns a client of the list at an address.
func NewClient(at netip.AddrPort) *Client {
	return &Client{
		url:  fmt.Sprintf("http://%s/list", at),
		http: &fasthttp.Client{MaxIdleConnDuration: time.Second},
	}
}

// List implements Source.
func (c *Client) List(ctx context.Context) (List, error) {
	wait := listWait
	if at, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(at))
	}
	code, body, err := c.http.GetTimeout(nil, c.url, wait)
	if err != nil {
		return List{}, fmt.Errorf("fetch list: %w", err)
	}
	if code != fasthttp.StatusOK {
		return List{}, fmt.Errorf("fetch list: status %d", code) //nolint:err113 // callers only log it
	}
	var l List
	if err := json.Unmarshal(body, &l); err != nil {
		return List{}, fmt.Errorf("fetch list: %w", err)
	}
	return l, nil
}
