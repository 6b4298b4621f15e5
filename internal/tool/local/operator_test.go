package local

import (
	"context"
	"html"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/setup"
	"dahliawinch/internal/edge/certs"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/tool/judge"
	"dahliawinch/winch"
)

const operatorKey = "ana-secret"

func operators(s *Shape) { s.Operators = map[string]string{"ana": doc.Hash(operatorKey)} }

// browse sends a request as a phone's browser without scripts does.
func browse(t *testing.T, d *Deployment, method, path string, form url.Values, head ...string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+d.VMs[1].Settings.Operator.String()+path, strings.NewReader(form.Encode()))
	if err != nil {
		t.Fatal(err)
	}
	req.SetBasicAuth("ana", operatorKey)
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	}
	for i := 0; i+1 < len(head); i += 2 {
		req.Header.Set(head[i], head[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// hidden matches the hidden inputs of the confirmation form.
var hidden = regexp.MustCompile(`(?s)name="(base|doc)" value="(.*?)"`)

func TestConsoleChangeComesIntoForce(t *testing.T) {
	is := is.New(t)
	d := startWith(t, judge.New(), operators)
	code, text := browse(t, d, http.MethodGet, "/", nil)
	is.Equal(code, 200)
	is.True(strings.Contains(text, "Revision 1 is in force on all 4 VMs."))
	is.True(!strings.Contains(text, "<script"))
	code, text = browse(t, d, http.MethodPost, "/form/share", url.Values{"tenant": {"crew"}, "weight": {"-1"}})
	is.Equal(code, 400)
	is.True(strings.Contains(text, "tenants.crew.weight"))
	code, text = browse(t, d, http.MethodPost, "/form/share", url.Values{"tenant": {"crew"}, "weight": {"5"}})
	is.Equal(code, 200)
	is.True(strings.Contains(html.UnescapeString(text), "~ tenants.crew.weight 1 -> 5"))
	in := url.Values{"note": {"more crews"}}
	for _, m := range hidden.FindAllStringSubmatch(text, -1) {
		in.Set(m[1], html.UnescapeString(m[2]))
	}
	code, _ = browse(t, d, http.MethodPost, "/declare", in, "Sec-Fetch-Site", "cross-site")
	is.Equal(code, 403)
	code, text = browse(t, d, http.MethodPost, "/declare", in)
	is.Equal(code, 200) // after the redirect to /watch
	is.True(strings.Contains(text, "Revision 2 is in force on"))
	code, text = browse(t, d, http.MethodPost, "/declare", in)
	is.Equal(code, 409)
	is.True(strings.Contains(text, "Lost: ana was first, with revision 2."))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(d.AwaitRevision(ctx, 2))
	_, text = browse(t, d, http.MethodGet, "/history", nil, "Accept", "text/html")
	is.True(strings.Contains(text, "Revision 2 by ana: more crews"))
	code, text = browse(t, d, http.MethodPost, "/back", url.Values{"rev": {"1"}})
	is.Equal(code, 200)
	is.True(strings.Contains(html.UnescapeString(text), "~ tenants.crew.weight 5 -> 1"))
}

// Guards against changes without a valid key (a wrong, a missing or another operator's
// one), and against a recorded author that is taken from the request rather than from the
// key.
func TestOperatorWithoutKeyChangesNothing(t *testing.T) {
	is := is.New(t)
	d := startWith(t, judge.New(), operators)
	at := "http://" + d.VMs[0].Settings.Operator.String()
	for _, c := range []struct {
		name, key string
		code      int
	}{{"ana", "wrong", 401}, {"bo", operatorKey, 401}, {"", "", 401}, {"ana", operatorKey, 409}} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, at+"/document",
			strings.NewReader(`{"base":7,"author":"bo","doc":`+string(mustEncode(t))+`}`))
		is.NoErr(err)
		if c.name != "" {
			req.SetBasicAuth(c.name, c.key)
		}
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, c.code) // the right key fails only because base 7 is not current
	}
	for _, path := range []string{"/health", "/ready", "/metrics"} {
		resp, err := http.Get(at + path) //nolint:noctx // a probe
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, 200)
	}
	r, _, _ := d.VMs[0].Daemon.Node().InForce()
	is.Equal(r.Rev, uint64(1))
}

func mustEncode(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("../../conf/doc/testdata/valid/quokka.json")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Checks that mutual TLS links between VMs survive a rotation of certificates, and that
// new connections use the new ones.
func TestMutualTLSBetweenVMsAndRotation(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a, err := certs.NewAuthority(time.Hour)
	is.NoErr(err)
	f, err := a.Issue(dir, time.Hour, netip.MustParseAddr("127.0.0.1"))
	is.NoErr(err)
	j := judge.New()
	d := startWith(t, j, func(s *Shape) {
		s.TLS = setup.TLS{Cert: f.Cert, Key: f.Key, Authority: f.Authority, Mesh: true}
	})
	_, err = a.Issue(dir, time.Hour, netip.MustParseAddr("127.0.0.1"))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(d.AwaitMembers(ctx))
	c := winch.NewClient(d.VMs[0].Settings.Caller, "demo-crew")
	ts, err := c.Tickets(ctx, 1)
	is.NoErr(err)
	j.Submit("tls", 1)
	b := winch.NewClient(d.VMs[3].Settings.Caller, "demo-crew") // hands the job over a TLS link
	ans, err := b.Submit(ctx, winch.Job{Class: "topup", Ticket: ts[0], Tasks: []winch.Task{{Body: fakes.Task{Job: "tls"}}}})
	is.NoErr(err)
	is.Equal(ans.Outcome, winch.Done)
}
