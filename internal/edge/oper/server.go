// Package oper is the operators' side of an entry VM: health, metrics, status and
// the declared document.
package oper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/fold"
	"dahliawinch/internal/conf/keeper"
	"dahliawinch/internal/conf/valid"
	"dahliawinch/internal/task/flow"
)

// declareWait is how long a declaration may take before its fate is unknown.
const declareWait = 10 * time.Second

// Server answers operators.
type Server struct {
	node    *flow.Node
	keeper  *keeper.Keeper
	http    *fasthttp.Server
	metrics fasthttp.RequestHandler
	// operators are the key hashes by name; none means that anyone may come in.
	operators map[string]string
}

// NewServer returns the operators' side of a node.
func NewServer(node *flow.Node, k *keeper.Keeper, m *meter.Meter, operators map[string]string) *Server {
	s := &Server{
		node: node, keeper: k, operators: operators,
		metrics: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})),
	}
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "dahliawinch", ReadTimeout: declareWait, IdleTimeout: time.Minute,
		MaxRequestBodySize: 2 * doc.MaxText, CloseOnShutdown: true,
	}
	return s
}

// Serve answers until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); err != nil {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// Shutdown closes the listener and waits for requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("end operators' connections: %w", err)
	}
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	author, ok := s.admit(ctx)
	if !ok {
		return
	}
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /health":
		ctx.SetBodyString("ok\n")
	case "GET /ready":
		s.ready(ctx)
	case "GET /metrics":
		s.metrics(ctx)
	case "GET /status":
		reply(ctx, fasthttp.StatusOK, s.status())
	case "GET /document":
		s.document(ctx)
	case "POST /document":
		s.declare(ctx, author)
	case "GET /history":
		s.past(ctx, author)
	case "GET /spread":
		rev, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("rev")), 10, 64)
		_, answer, rows := s.spread(rev)
		reply(ctx, fasthttp.StatusOK, Reach{Answer: answer, Rows: rows})
	default:
		if s.console(ctx, author) {
			return
		}
		reply(ctx, fasthttp.StatusNotFound, Trouble{Error: "not served; use / /health /ready /metrics /status /document /history /spread"})
	}
}

// Reach is how far a revision has come.
type Reach struct {
	Answer string   `json:"answer"`
	Rows   []Spread `json:"rows"`
}

// Past is one revision of the history.
type Past struct {
	Rev    uint64          `json:"rev"`
	Author string          `json:"author"`
	Note   string          `json:"note,omitempty"`
	Doc    json.RawMessage `json:"doc"`
}

// past lists the revisions as JSON for programs and as a page for browsers.
func (s *Server) past(ctx *fasthttp.RequestCtx, author string) {
	if strings.Contains(string(ctx.Request.Header.Peek(fasthttp.HeaderAccept)), "text/html") {
		s.console(ctx, author)
		return
	}
	list := []Past{}
	for _, r := range s.keeper.History() {
		list = append(list, Past{r.Rev, r.Author, r.Note, r.Doc})
	}
	reply(ctx, fasthttp.StatusOK, list)
}

// Trouble is the body of an error.
type Trouble struct {
	Error    string          `json:"error"`
	Problems []valid.Problem `json:"problems,omitempty"`
}

func reply(ctx *fasthttp.RequestCtx, code int, v any) {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(code)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(text, '\n'))
}

// ready tells the platform's balancer whether new callers should come here.
func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	_, _, ok := s.node.InForce()
	switch {
	case s.node.Draining():
		reply(ctx, fasthttp.StatusServiceUnavailable, Trouble{Error: "this VM leaves"})
	case !ok:
		reply(ctx, fasthttp.StatusServiceUnavailable, Trouble{Error: "no document is known yet"})
	case !s.node.View().Joined(s.node.Stats().Now):
		reply(ctx, fasthttp.StatusServiceUnavailable, Trouble{Error: "not all listed VMs were heard yet"})
	default:
		ctx.SetBodyString("ready\n")
	}
}

// Document is the revision in force.
type Document struct {
	Rev    uint64          `json:"rev"`
	Author string          `json:"author"`
	Note   string          `json:"note,omitempty"`
	Doc    json.RawMessage `json:"doc"`
}

func (s *Server) document(ctx *fasthttp.RequestCtx) {
	r, _, ok := s.node.InForce()
	if !ok {
		reply(ctx, fasthttp.StatusNotFound, Trouble{Error: "no document is known yet"})
		return
	}
	reply(ctx, fasthttp.StatusOK, Document{Rev: r.Rev, Author: r.Author, Note: r.Note, Doc: r.Doc})
}

// Declaration is the body of a POST to /document.
type Declaration struct {
	Base   uint64          `json:"base"`
	Author string          `json:"author"`
	Note   string          `json:"note,omitempty"`
	Doc    json.RawMessage `json:"doc"`
}

// Verdict is what became of a declaration.
type Verdict struct {
	Verdict string `json:"verdict"` // accepted, lost, refused or unknown
	Rev     uint64 `json:"rev,omitempty"`
	Winner  string `json:"winner,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

func (s *Server) declare(ctx *fasthttp.RequestCtx, author string) {
	var d Declaration
	if err := valid.Strict(ctx.PostBody(), &d); err != nil {
		p := valid.JSONProblem("body", err)
		reply(ctx, fasthttp.StatusBadRequest, Trouble{Error: p.String(), Problems: []valid.Problem{p}})
		return
	}
	if author != "" {
		d.Author = author // who holds the key, whatever the body says
	}
	if d.Author == "" {
		reply(ctx, fasthttp.StatusBadRequest, Trouble{Error: "author: is missing; say who declares"})
		return
	}
	life, cancel := context.WithTimeout(context.Background(), declareWait)
	defer cancel()
	v, err := s.keeper.Declare(life, d.Base, d.Doc, d.Author, d.Note)
	var invalid *valid.Error
	switch {
	case errors.As(err, &invalid):
		reply(ctx, fasthttp.StatusBadRequest, Trouble{Error: "the document is invalid", Problems: invalid.Problems})
	case errors.Is(err, keeper.ErrNotAppended):
		reply(ctx, fasthttp.StatusServiceUnavailable, Verdict{Verdict: "refused", Detail: err.Error()})
	case err != nil:
		reply(ctx, fasthttp.StatusGatewayTimeout, Verdict{Verdict: "unknown", Detail: err.Error()})
	case !v.Won:
		reply(ctx, fasthttp.StatusConflict, lost(v))
	default:
		reply(ctx, fasthttp.StatusOK, Verdict{Verdict: "accepted", Rev: v.Rev, Winner: v.Author})
	}
}

func lost(v fold.Verdict) Verdict {
	if v.Why != "" {
		return Verdict{Verdict: "refused", Rev: v.Rev, Detail: v.Why}
	}
	return Verdict{Verdict: "lost", Rev: v.Rev, Winner: v.Author, Detail: fmt.Sprintf("revision %d is by %s; look at it and declare on it", v.Rev, v.Author)}
}
