// Package oper serves the operators' HTTP API and console of an entry VM: health,
// metrics, status and the declared document.
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

// declareTimeout limits a declaration; after it the result is unknown.
const declareTimeout = 10 * time.Second

// Server serves operators.
type Server struct {
	node    *flow.Node
	keeper  *keeper.Keeper
	http    *fasthttp.Server
	metrics fasthttp.RequestHandler
	// operators maps names to key hashes; if it is empty, anyone has access.
	operators map[string]string
}

// NewServer returns the operators' server of a node.
func NewServer(node *flow.Node, k *keeper.Keeper, m *meter.Meter, operators map[string]string) *Server {
	s := &Server{
		node: node, keeper: k, operators: operators,
		metrics: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})),
	}
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "dahliawinch", ReadTimeout: declareTimeout, IdleTimeout: time.Minute,
		MaxRequestBodySize: 2 * doc.MaxText, CloseOnShutdown: true,
	}
	return s
}

// Serve accepts connections on l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); err != nil {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// Shutdown closes the listener and waits for requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down operators' server: %w", err)
	}
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	author, ok := s.authenticate(ctx)
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
		writeJSON(ctx, fasthttp.StatusOK, s.status())
	case "GET /document":
		s.document(ctx)
	case "POST /document":
		s.declare(ctx, author)
	case "GET /history":
		s.revisions(ctx, author)
	case "GET /spread":
		rev, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("rev")), 10, 64)
		_, answer, rows := s.rollout(rev)
		writeJSON(ctx, fasthttp.StatusOK, Rollout{Answer: answer, Rows: rows})
	default:
		if s.console(ctx, author) {
			return
		}
		writeJSON(ctx, fasthttp.StatusNotFound, ErrorBody{Error: "not served; use / /health /ready /metrics /status /document /history /spread"})
	}
}

// Rollout shows on which VMs a revision is in force.
type Rollout struct {
	Answer string       `json:"answer"`
	Rows   []RolloutRow `json:"rows"`
}

// Revision is one revision of the history.
type Revision struct {
	Rev    uint64          `json:"rev"`
	Author string          `json:"author"`
	Note   string          `json:"note,omitempty"`
	Doc    json.RawMessage `json:"doc"`
}

// revisions lists the history as JSON for programs and as a page for browsers.
func (s *Server) revisions(ctx *fasthttp.RequestCtx, author string) {
	if strings.Contains(string(ctx.Request.Header.Peek(fasthttp.HeaderAccept)), "text/html") {
		s.console(ctx, author)
		return
	}
	list := []Revision{}
	for _, r := range s.keeper.History() {
		list = append(list, Revision{r.Rev, r.Author, r.Note, r.Doc})
	}
	writeJSON(ctx, fasthttp.StatusOK, list)
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error    string          `json:"error"`
	Problems []valid.Problem `json:"problems,omitempty"`
}

func writeJSON(ctx *fasthttp.RequestCtx, code int, v any) {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(code)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(text, '\n'))
}

// ready tells the platform's balancer whether to send new callers to this VM.
func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	_, _, ok := s.node.InForce()
	switch {
	case s.node.Draining():
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, ErrorBody{Error: "this VM leaves"})
	case !ok:
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, ErrorBody{Error: "no document is known yet"})
	case !s.node.View().Joined(s.node.Stats().Now):
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, ErrorBody{Error: "not all listed VMs were heard yet"})
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
		writeJSON(ctx, fasthttp.StatusNotFound, ErrorBody{Error: "no document is known yet"})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, Document{Rev: r.Rev, Author: r.Author, Note: r.Note, Doc: r.Doc})
}

// Declaration is the body of a POST to /document.
type Declaration struct {
	Base   uint64          `json:"base"`
	Author string          `json:"author"`
	Note   string          `json:"note,omitempty"`
	Doc    json.RawMessage `json:"doc"`
}

// Verdict is the result of a declaration.
type Verdict struct {
	Verdict string `json:"verdict"` // accepted, lost, refused or unknown
	Rev     uint64 `json:"rev,omitempty"`
	Winner  string `json:"winner,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

func (s *Server) declare(ctx *fasthttp.RequestCtx, author string) {
	var d Declaration
	if err := valid.DecodeStrict(ctx.PostBody(), &d); err != nil {
		p := valid.JSONProblem("body", err)
		writeJSON(ctx, fasthttp.StatusBadRequest, ErrorBody{Error: p.String(), Problems: []valid.Problem{p}})
		return
	}
	if author != "" {
		d.Author = author // the authenticated name overrides the body
	}
	if d.Author == "" {
		writeJSON(ctx, fasthttp.StatusBadRequest, ErrorBody{Error: "author: is missing; say who declares"})
		return
	}
	declareCtx, cancel := context.WithTimeout(context.Background(), declareTimeout)
	defer cancel()
	v, err := s.keeper.Declare(declareCtx, d.Base, d.Doc, d.Author, d.Note)
	var invalid *valid.Error
	switch {
	case errors.As(err, &invalid):
		writeJSON(ctx, fasthttp.StatusBadRequest, ErrorBody{Error: "the document is invalid", Problems: invalid.Problems})
	case errors.Is(err, keeper.ErrNotAppended):
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, Verdict{Verdict: "refused", Detail: err.Error()})
	case err != nil:
		writeJSON(ctx, fasthttp.StatusGatewayTimeout, Verdict{Verdict: "unknown", Detail: err.Error()})
	case !v.Won:
		writeJSON(ctx, fasthttp.StatusConflict, lostVerdict(v))
	default:
		writeJSON(ctx, fasthttp.StatusOK, Verdict{Verdict: "accepted", Rev: v.Rev, Winner: v.Author})
	}
}

func lostVerdict(v fold.Verdict) Verdict {
	if v.Why != "" {
		return Verdict{Verdict: "refused", Rev: v.Rev, Detail: v.Why}
	}
	return Verdict{Verdict: "lost", Rev: v.Rev, Winner: v.Author, Detail: fmt.Sprintf("revision %d is by %s; look at it and declare on it", v.Rev, v.Author)}
}
