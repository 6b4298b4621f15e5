package call

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/valid"
	"dahliawinch/internal/edge/hangup"
	"dahliawinch/internal/task/flow"
	"dahliawinch/internal/task/job"
)

const (
	// sendWait is how long a caller may take to send its request.
	sendWait = 10 * time.Second
	// keepWait is how long an idle caller's connection is kept.
	keepWait = 60 * time.Second
	// bodyRoom is what JSON may add to the bodies of a submission.
	bodyRoom = 1 << 20
	// mostAwaited bounds the time for a ticket's answer.
	mostAwaited = 5 * time.Second
)

// Server answers callers.
type Server struct {
	node *flow.Node
	http *fasthttp.Server
	log  *slog.Logger
}

// NewServer returns the callers' side of a node.
func NewServer(node *flow.Node, log *slog.Logger) *Server {
	s := &Server{node: node, log: log}
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "dahliawinch", ReadTimeout: sendWait, IdleTimeout: keepWait,
		MaxRequestBodySize: doc.MostBytes + bodyRoom, NoDefaultDate: true, CloseOnShutdown: true,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			write(ctx, job.Refuse(job.BadRequest, 0, "request: %v; mend the request", err))
			ctx.SetConnectionClose()
		},
		Logger: quiet{},
	}
	return s
}

// quiet drops the library's log lines: they speak of callers' broken connections.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// Serve answers until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Shutdown closes the listener and returns when every request in progress has
// its answer.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("end callers' connections: %w", err)
	}
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	tenant, refusal := s.node.Ident(key(ctx))
	if refusal != nil {
		if refusal.Reason == job.NoDocument && ticketed(ctx) {
			refusal = flow.Elsewhere(refusal)
		}
		write(ctx, refusal)
		return
	}
	path, method := string(ctx.Path()), string(ctx.Method())
	ticket, isTicket := strings.CutPrefix(path, "/tickets/")
	switch {
	case path == "/jobs" && method == fasthttp.MethodPost:
		s.submit(ctx, tenant)
	case path == "/tickets" && method == fasthttp.MethodPost:
		s.grant(ctx, tenant)
	case isTicket && method == fasthttp.MethodGet:
		s.await(ctx, tenant, ticket, s.node.Ask)
	case isTicket && method == fasthttp.MethodDelete:
		s.await(ctx, tenant, ticket, s.node.Stop)
	default:
		write(ctx, job.Refuse(job.BadRequest, 0, "%s %s is not served; use POST /jobs, POST /tickets, GET or DELETE /tickets/TICKET", method, path))
	}
	if s.node.Draining() {
		ctx.SetConnectionClose() // so that the caller's next request goes elsewhere
	}
}

// ticketed reports whether a request is about a ticket, by its path or its body.
func ticketed(ctx *fasthttp.RequestCtx) bool {
	if strings.HasPrefix(string(ctx.Path()), "/tickets/") {
		return true
	}
	j, _ := decode(ctx.PostBody())
	return j != nil && j.Ticket != ""
}

func key(ctx *fasthttp.RequestCtx) string {
	text := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	k, ok := strings.CutPrefix(text, "Bearer ")
	if !ok {
		return ""
	}
	return k
}

func (s *Server) submit(ctx *fasthttp.RequestCtx, tenant string) {
	j, refusal := decode(ctx.PostBody())
	if refusal != nil {
		write(ctx, refusal)
		return
	}
	if j.Deadline < 0 {
		write(ctx, job.Refuse(job.BadRequest, 0, "deadline: %s is negative; leave it out for the class's", j.Deadline.Std()))
		return
	}
	life, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := hangup.Watch(ctx.Conn(), cancel)
	defer stop()
	write(ctx, s.node.Submit(life, j.request(tenant)))
}

// count is the body of a request for tickets.
type count struct {
	Count int `json:"count"`
}

func (s *Server) grant(ctx *fasthttp.RequestCtx, tenant string) {
	c := count{Count: 1}
	if len(ctx.PostBody()) > 0 {
		if err := valid.Strict(ctx.PostBody(), &c); err != nil {
			write(ctx, job.Refuse(job.BadRequest, 0, "%s", valid.JSONProblem("body", err)))
			return
		}
	}
	if c.Count < 1 || c.Count > flow.MostGrant {
		write(ctx, job.Refuse(job.BadRequest, 0, "count: %d tickets; ask for 1 to %d", c.Count, flow.MostGrant))
		return
	}
	text, err := s.node.Grant(tenant, c.Count)
	if err != nil {
		write(ctx, job.Refuse(job.Overload, time.Second, "%v", err))
		return
	}
	body, err := json.Marshal(Answer{Outcome: job.Done.String(), Grant: text, Tickets: c.Count})
	if err != nil {
		write(ctx, job.Refuse(job.Overload, time.Second, "%v", err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (s *Server) await(ctx *fasthttp.RequestCtx, tenant, ticket string, ask func(context.Context, string, string) *job.Answer) {
	life, cancel := context.WithTimeout(context.Background(), mostAwaited)
	defer cancel()
	write(ctx, ask(life, tenant, ticket))
}
