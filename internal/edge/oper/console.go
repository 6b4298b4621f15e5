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

// pageFiles holds the templates of the console's pages, which fit a phone's narrow screen, work
// without scripts and show the answer on the first screen.
//
//go:embed pages/*.html
var pageFiles embed.FS

var pages = template.Must(template.ParseFS(pageFiles, "pages/*.html"))

// Moods are the CSS classes of an answer.
const (
	moodGood = ""
	moodWait = "wait"
	moodBad  = "bad"
)

// page holds the fields that all pages share.
type page struct {
	Title   string
	Refresh bool
	Mood    string
	Answer  string
}

func render(ctx *fasthttp.RequestCtx, name string, data any) {
	ctx.SetContentType("text/html; charset=utf-8")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	if err := pages.ExecuteTemplate(ctx, name, data); err != nil {
		ctx.Error("page: "+err.Error(), fasthttp.StatusInternalServerError)
	}
}

// console serves the HTML pages; ok is false for any other path.
func (s *Server) console(ctx *fasthttp.RequestCtx, author string) (ok bool) {
	path := string(ctx.Path())
	name, isForm := strings.CutPrefix(path, "/form/")
	post := ctx.IsPost()
	if site := string(ctx.Request.Header.Peek("Sec-Fetch-Site")); post && site != "" && site != "same-origin" {
		// A browser sends the operator's key with forms of any site (CSRF).
		s.showMessage(ctx, fasthttp.StatusForbidden, moodBad, "This form came from another site; nothing was done.")
		return true
	}
	switch {
	case path == "/" && !post:
		s.home(ctx)
	case isForm:
		s.form(ctx, name, post)
	case path == "/declare" && post:
		s.declareForm(ctx, author)
	case path == "/watch" && !post:
		s.watch(ctx)
	case path == "/history" && !post:
		s.history(ctx)
	case path == "/back" && post:
		s.revert(ctx)
	default:
		return false
	}
	return true
}

func (s *Server) home(ctx *fasthttp.RequestCtx) {
	mood, answer, _ := s.rollout(0)
	render(ctx, "home.html", struct {
		page
		Forms []forms.Form
	}{page{Title: "dahliawinch", Mood: mood, Answer: answer}, forms.All})
}

// formInput is one form field as the page shows it.
type formInput struct {
	Name, Help, Value string
	Choices           []string
}

func (s *Server) form(ctx *fasthttp.RequestCtx, name string, post bool) {
	f, err := forms.Find(name)
	if err != nil {
		s.showMessage(ctx, fasthttp.StatusNotFound, moodBad, err.Error())
		return
	}
	cur, d, err := s.currentDoc()
	if err != nil {
		s.showMessage(ctx, fasthttp.StatusServiceUnavailable, moodBad, err.Error())
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
		p.Mood, p.Answer = moodBad, err.Error()
	}
	var inputs []formInput
	for _, in := range f.Fields {
		x := formInput{Name: in.Name, Help: in.Help, Value: v[in.Name]}
		if in.Choices != nil {
			x.Choices = in.Choices(d)
		}
		inputs = append(inputs, x)
	}
	render(ctx, "form.html", struct {
		page
		Form   forms.Form
		Inputs []formInput
	}{p, f, inputs})
}

var errNoDocument = errors.New("no document is known yet; declare one with: dahliawinch declare FILE")

// currentDoc returns the current revision, on which a change is based.
func (s *Server) currentDoc() (fold.Revision, *doc.Document, error) {
	cur, ok := s.keeper.Current()
	if !ok {
		return cur, nil, errNoDocument
	}
	d, err := doc.Parse(cur.Doc)
	if err != nil {
		return cur, nil, fmt.Errorf("revision %d: %w", cur.Rev, err)
	}
	return cur, d, nil
}

// confirm shows the changes for confirmation if the changed document is valid.
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
	render(ctx, "confirm.html", struct {
		page
		Base    uint64
		Changes []forms.Change
		Doc     string
	}{page{Title: title}, cur.Rev, changes, string(text)})
	return nil
}

// declareForm declares the confirmed document and redirects to the page that shows
// where it is in force.
func (s *Server) declareForm(ctx *fasthttp.RequestCtx, author string) {
	base, err := strconv.ParseUint(string(ctx.PostArgs().Peek("base")), 10, 64)
	if err != nil {
		s.showMessage(ctx, fasthttp.StatusBadRequest, moodBad, "base: is no revision")
		return
	}
	declareCtx, cancel := context.WithTimeout(context.Background(), declareTimeout)
	defer cancel()
	v, err := s.keeper.Declare(declareCtx, base, ctx.PostArgs().Peek("doc"), author, string(ctx.PostArgs().Peek("note")))
	switch {
	case errors.Is(err, keeper.ErrNotAppended):
		s.showMessage(ctx, fasthttp.StatusServiceUnavailable, moodBad, "Refused: nothing was declared.", err.Error())
	case err != nil:
		s.showMessage(ctx, fasthttp.StatusGatewayTimeout, moodWait, "Unknown: it may have been declared. Look at the history before you try again.", err.Error())
	case !v.Won && v.Why != "":
		s.showMessage(ctx, fasthttp.StatusConflict, moodBad, "Refused: the document is not valid.", v.Why)
	case !v.Won:
		s.showMessage(ctx, fasthttp.StatusConflict, moodBad, fmt.Sprintf("Lost: %s was first, with revision %d. Nothing of yours is in force.", v.Author, v.Rev), "Look at what is in force now and fill in the form again.")
	default:
		ctx.Redirect("/watch?rev="+strconv.FormatUint(v.Rev, 10), fasthttp.StatusSeeOther)
	}
}

func (s *Server) showMessage(ctx *fasthttp.RequestCtx, code int, mood, answer string, lines ...string) {
	ctx.SetStatusCode(code)
	render(ctx, "said.html", struct {
		page
		Lines []string
	}{page{Title: "Declare", Mood: mood, Answer: answer}, lines})
}

func (s *Server) watch(ctx *fasthttp.RequestCtx) {
	rev, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("rev")), 10, 64)
	mood, answer, rows := s.rollout(rev)
	render(ctx, "watch.html", struct {
		page
		Rows []RolloutRow
	}{page{Title: "In force", Refresh: mood == moodWait, Mood: mood, Answer: answer}, rows})
}

// pastRevision is a revision as the history page shows it.
type pastRevision struct {
	fold.Revision
	Old bool
}

func (s *Server) history(ctx *fasthttp.RequestCtx) {
	cur, _ := s.keeper.Current()
	var list []pastRevision
	for _, r := range s.keeper.History() {
		list = append([]pastRevision{{r, r.Rev != cur.Rev}}, list...)
	}
	render(ctx, "history.html", struct {
		page
		Past []pastRevision
	}{page{Title: "History"}, list})
}

func (s *Server) revert(ctx *fasthttp.RequestCtx) {
	rev, _ := strconv.ParseUint(string(ctx.PostArgs().Peek("rev")), 10, 64)
	cur, _, err := s.currentDoc()
	if err != nil {
		s.showMessage(ctx, fasthttp.StatusServiceUnavailable, moodBad, err.Error())
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
			s.showMessage(ctx, fasthttp.StatusBadRequest, moodBad, err.Error())
		}
		return
	}
	s.showMessage(ctx, fasthttp.StatusNotFound, moodBad, fmt.Sprintf("Revision %d is not remembered here.", rev))
}
