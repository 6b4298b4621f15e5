package oper

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"html/template"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/fold"
	"dahliawinch/internal/conf/forms"
	"dahliawinch/internal/conf/keeper"
	"dahliawinch/internal/conf/valid"
)

// The console's pages are one narrow column for a phone, work without scripts and
// have the answer on the first screen.
//
//go:embed pages/*.html
var pageFiles embed.FS

var pages = template.Must(template.ParseFS(pageFiles, "pages/*.html"))

// Moods of an answer.
const (
	good = ""
	wait = "wait"
	bad  = "bad"
)

// page is what every page has.
type page struct {
	Title   string
	Refresh bool
	Mood    string
	Answer  string
}

func show(ctx *fasthttp.RequestCtx, name string, data any) {
	ctx.SetContentType("text/html; charset=utf-8")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	if err := pages.ExecuteTemplate(ctx, name, data); err != nil {
		ctx.Error("page: "+err.Error(), fasthttp.StatusInternalServerError)
	}
}

// console serves the pages; ok is false for a path that is none of them.
func (s *Server) console(ctx *fasthttp.RequestCtx, author string) (ok bool) {
	path := string(ctx.Path())
	name, isForm := strings.CutPrefix(path, "/form/")
	post := ctx.IsPost()
	if site := string(ctx.Request.Header.Peek("Sec-Fetch-Site")); post && site != "" && site != "same-origin" {
		// The browser sends an operator's key along whoever wrote the page.
		s.say(ctx, fasthttp.StatusForbidden, bad, "This form came from another site; nothing was done.")
		return true
	}
	switch {
	case path == "/" && !post:
		s.home(ctx)
	case isForm:
		s.form(ctx, name, post)
	case path == "/declare" && post:
		s.declared(ctx, author)
	case path == "/watch" && !post:
		s.watch(ctx)
	case path == "/history" && !post:
		s.history(ctx)
	case path == "/back" && post:
		s.back(ctx)
	default:
		return false
	}
	return true
}

func (s *Server) home(ctx *fasthttp.RequestCtx) {
	mood, answer, _ := s.spread(0)
	show(ctx, "home.html", struct {
		page
		Forms []forms.Form
	}{page{Title: "dahliawinch", Mood: mood, Answer: answer}, forms.All})
}

// input is one field of a form as the page shows it.
type input struct {
	Name, Help, Value string
	Choices           []string
}

func (s *Server) form(ctx *fasthttp.RequestCtx, name string, post bool) {
	f, err := forms.Find(name)
	if err != nil {
		s.say(ctx, fasthttp.StatusNotFound, bad, err.Error())
		return
	}
	cur, d, err := s.base()
	if err != nil {
		s.say(ctx, fasthttp.StatusServiceUnavailable, bad, err.Error())
		return
	}
	v := forms.Values{}
	p := page{Title: f.Title}
	if post {
		for _, in := range f.Fields {
			v[in.Name] = string(ctx.PostArgs().Peek(in.Name))
		}
		next, err := f.Apply(d, v)
		if err == nil {
			err = s.confirm(ctx, f.Title, cur, next)
		}
		if err == nil {
			return
		}
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		p.Mood, p.Answer = bad, err.Error()
	}
	var inputs []input
	for _, in := range f.Fields {
		x := input{Name: in.Name, Help: in.Help, Value: v[in.Name]}
		if in.Choices != nil {
			x.Choices = in.Choices(d)
		}
		inputs = append(inputs, x)
	}
	show(ctx, "form.html", struct {
		page
		Form   forms.Form
		Inputs []input
	}{p, f, inputs})
}

var errNone = errors.New("no document is known yet; declare one with: dahliawinch declare FILE")

// base is the revision that a change starts from.
func (s *Server) base() (fold.Revision, *doc.Document, error) {
	cur, ok := s.keeper.Current()
	if !ok {
		return cur, nil, errNone
	}
	d, err := doc.Parse(cur.Doc)
	if err != nil {
		return cur, nil, fmt.Errorf("revision %d: %w", cur.Rev, err)
	}
	return cur, d, nil
}

// confirm shows what would change, if the changed document is valid.
func (s *Server) confirm(ctx *fasthttp.RequestCtx, title string, cur fold.Revision, next *doc.Document) error {
	if ps := next.Check(); len(ps) > 0 {
		return &valid.Error{Problems: ps}
	}
	text, err := next.Encode()
	if err != nil {
		return fmt.Errorf("confirm: %w", err)
	}
	changes, err := forms.Diff(cur.Doc, text)
	if err != nil {
		return fmt.Errorf("confirm: %w", err)
	}
	show(ctx, "confirm.html", struct {
		page
		Base    uint64
		Changes []forms.Change
		Doc     string
	}{page{Title: title}, cur.Rev, changes, string(text)})
	return nil
}

// declared puts the confirmed document forward and goes on to the page that shows
// where it is in force.
func (s *Server) declared(ctx *fasthttp.RequestCtx, author string) {
	base, err := strconv.ParseUint(string(ctx.PostArgs().Peek("base")), 10, 64)
	if err != nil {
		s.say(ctx, fasthttp.StatusBadRequest, bad, "base: is no revision")
		return
	}
	life, cancel := context.WithTimeout(context.Background(), declareWait)
	defer cancel()
	v, err := s.keeper.Declare(life, base, ctx.PostArgs().Peek("doc"), author, string(ctx.PostArgs().Peek("note")))
	switch {
	case errors.Is(err, keeper.ErrNotAppended):
		s.say(ctx, fasthttp.StatusServiceUnavailable, bad, "Refused: nothing was declared.", err.Error())
	case err != nil:
		s.say(ctx, fasthttp.StatusGatewayTimeout, wait, "Unknown: it may have been declared. Look at the history before you try again.", err.Error())
	case !v.Won && v.Why != "":
		s.say(ctx, fasthttp.StatusConflict, bad, "Refused: the document is not valid.", v.Why)
	case !v.Won:
		s.say(ctx, fasthttp.StatusConflict, bad, fmt.Sprintf("Lost: %s was first, with revision %d. Nothing of yours is in force.", v.Author, v.Rev), "Look at what is in force now and fill in the form again.")
	default:
		ctx.Redirect("/watch?rev="+strconv.FormatUint(v.Rev, 10), fasthttp.StatusSeeOther)
	}
}

func (s *Server) say(ctx *fasthttp.RequestCtx, code int, mood, answer string, lines ...string) {
	ctx.SetStatusCode(code)
	show(ctx, "said.html", struct {
		page
		Lines []string
	}{page{Title: "Declare", Mood: mood, Answer: answer}, lines})
}

func (s *Server) watch(ctx *fasthttp.RequestCtx) {
	rev, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("rev")), 10, 64)
	mood, answer, rows := s.spread(rev)
	show(ctx, "watch.html", struct {
		page
		Rows []Spread
	}{page{Title: "In force", Refresh: mood == wait, Mood: mood, Answer: answer}, rows})
}

// past is a revision as the history shows it.
type past struct {
	fold.Revision
	Old bool
}

func (s *Server) history(ctx *fasthttp.RequestCtx) {
	cur, _ := s.keeper.Current()
	var list []past
	for _, r := range s.keeper.History() {
		list = append([]past{{r, r.Rev != cur.Rev}}, list...)
	}
	show(ctx, "history.html", struct {
		page
		Past []past
	}{page{Title: "History"}, list})
}

func (s *Server) back(ctx *fasthttp.RequestCtx) {
	rev, _ := strconv.ParseUint(string(ctx.PostArgs().Peek("rev")), 10, 64)
	cur, _, err := s.base()
	if err != nil {
		s.say(ctx, fasthttp.StatusServiceUnavailable, bad, err.Error())
		return
	}
	for _, r := range s.keeper.History() {
		if r.Rev != rev {
			continue
		}
		old, err := doc.Parse(r.Doc)
		if err == nil {
			err = s.confirm(ctx, fmt.Sprintf("Back to revision %d", rev), cur, old)
		}
		if err != nil {
			s.say(ctx, fasthttp.StatusBadRequest, bad, err.Error())
		}
		return
	}
	s.say(ctx, fasthttp.StatusNotFound, bad, fmt.Sprintf("Revision %d is not remembered here.", rev))
}
