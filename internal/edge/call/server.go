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
	// readTimeout limits the time that a caller takes to send its request.
	readTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 60 * time.Second
	// jsonOverhead is the number of bytes that JSON may add to the task bodies of a job.
	jsonOverhead = 1 << 20
	// ticketTimeout limits the wait for the answer to a ticket query.
	ticketTimeout = 5 * time.Second
)

// Server serves the callers' HTTP API.
type Server struct {
	node *flow.Node
	http *fasthttp.Server
	log  *slog.Logger
}

// NewServer returns a server that passes callers' requests to node.
func NewServer(node *flow.Node, log *slog.Logger) *Server {
	s := &Server{node: node, log: log}
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "dahliawinch", ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxRequestBodySize: doc.MaxBytes + jsonOverhead, NoDefaultDate: true, CloseOnShutdown: true,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			writeAnswer(ctx, job.Refuse(job.BadRequest, 0, "request: %v; mend the request", err))
			ctx.SetConnectionClose()
		},
		Logger: discardLogger{},
	}
	return s
}

// discardLogger drops the log lines of fasthttp, which report callers' broken connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections on l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Shutdown closes the listener and waits until all requests in progress are answered.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down callers' server: %w", err)
	}
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	tenant, refusal := s.node.Authenticate(bearerKey(ctx))
	if refusal != nil {
		if refusal.Reason == job.NoDocument && hasTicket(ctx) {
			refusal = flow.AsUnknown(refusal)
		}
		writeAnswer(ctx, refusal)
		return
	}
	path, method := string(ctx.Path()), string(ctx.Method())
	ticket, isTicket := strings.CutPrefix(path, "/tickets/")
	switch {
	case path == "/jobs" && method == fasthttp.MethodPost:
		s.submit(ctx, tenant)
	case path == "/tickets" && method == fasthttp.MethodPost:
		s.issueTickets(ctx, tenant)
	case isTicket && method == fasthttp.MethodGet:
		s.queryTicket(ctx, tenant, ticket, s.node.LookupTicket)
	case isTicket && method == fasthttp.MethodDelete:
		s.queryTicket(ctx, tenant, ticket, s.node.CancelTicket)
	default:
		writeAnswer(ctx, job.Refuse(job.BadRequest, 0, "%s %s is not served; use POST /jobs, POST /tickets, GET or DELETE /tickets/TICKET", method, path))
	}
	if s.node.Draining() {
		ctx.SetConnectionClose() // the caller's next request goes to another VM
	}
}

// hasTicket reports whether a request names a ticket in its path or body.
func hasTicket(ctx *fasthttp.RequestCtx) bool {
	if strings.HasPrefix(string(ctx.Path()), "/tickets/") {
		return true
	}
	j, _ := decodeJob(ctx.PostBody())
	return j != nil && j.Ticket != ""
}

func bearerKey(ctx *fasthttp.RequestCtx) string {
	text := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	k, ok := strings.CutPrefix(text, "Bearer ")
	if !ok {
		return ""
	}
	return k
}

func (s *Server) submit(ctx *fasthttp.RequestCtx, tenant string) {
	j, refusal := decodeJob(ctx.PostBody())
	if refusal != nil {
		writeAnswer(ctx, refusal)
		return
	}
	if j.Deadline < 0 {
		writeAnswer(ctx, job.Refuse(job.BadRequest, 0, "deadline: %s is negative; leave it out for the class's", j.Deadline.Std()))
		return
	}
	jobCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := hangup.Watch(ctx.Conn(), cancel)
	defer stop()
	writeAnswer(ctx, s.node.Submit(jobCtx, j.request(tenant)))
}

// ticketRequest is the body of a request for tickets.
type ticketRequest struct {
	Count int `json:"count"`
}

func (s *Server) issueTickets(ctx *fasthttp.RequestCtx, tenant string) {
	c := ticketRequest{Count: 1}
	if len(ctx.PostBody()) > 0 {
		if err := valid.DecodeStrict(ctx.PostBody(), &c); err != nil {
			writeAnswer(ctx, job.Refuse(job.BadRequest, 0, "%s", valid.JSONProblem("body", err)))
			return
		}
	}
	if c.Count < 1 || c.Count > flow.MaxGrant {
		writeAnswer(ctx, job.Refuse(job.BadRequest, 0, "count: %d tickets; ask for 1 to %d", c.Count, flow.MaxGrant))
		return
	}
	text, err := s.node.Grant(tenant, c.Count)
	if err != nil {
		writeAnswer(ctx, job.Refuse(job.Overload, time.Second, "%v", err))
		return
	}
	body, err := json.Marshal(Answer{Outcome: job.Done.String(), Grant: text, Tickets: c.Count})
	if err != nil {
		writeAnswer(ctx, job.Refuse(job.Overload, time.Second, "%v", err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (s *Server) queryTicket(ctx *fasthttp.RequestCtx, tenant, ticket string, ask func(context.Context, string, string) *job.Answer) {
	askCtx, cancel := context.WithTimeout(context.Background(), ticketTimeout)
	defer cancel()
	writeAnswer(ctx, ask(askCtx, tenant, ticket))
}
