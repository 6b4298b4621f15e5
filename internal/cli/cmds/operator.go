package cmds

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dahliawinch/internal/edge/oper"
)

// Exit codes of the commands that change or watch a document.
const (
	exitRefused = 3 // certainly nothing was declared
	exitLost    = 4 // another declaration was first
	exitUnknown = 5 // it may have been declared, or is not in force everywhere yet
)

var (
	errRefused = errors.New("refused")
	errLost    = errors.New("lost a race")
	errUnknown = errors.New("unknown")
)

// operatorClient calls the operators' HTTP API of one entry VM.
type operatorClient struct {
	url, name, key string
	http           *http.Client
}

const operatorTimeout = 30 * time.Second

func operatorFlags(f *pflag.FlagSet) {
	f.String("at", "", "operators' address of any entry VM (needed)")
	f.String("as", "", "your name as an operator")
	f.String("key", "", "file with your key; DAHLIAWINCH_KEY if empty")
	f.String("authority", "", "PEM file of the authority, if the address speaks TLS")
}

func newOperator(c *cobra.Command) (*operatorClient, error) {
	get := func(name string) string {
		v, _ := c.Flags().GetString(name)
		return v
	}
	o := &operatorClient{name: get("as"), key: os.Getenv("DAHLIAWINCH_KEY"), http: &http.Client{Timeout: operatorTimeout}}
	if get("at") == "" {
		return nil, fmt.Errorf("at: is missing; name the operators' address of any entry VM: %w", errRefused)
	}
	o.url = "http://" + get("at")
	if path := get("key"); path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("key: %w", err)
		}
		o.key = strings.TrimSpace(string(text))
	}
	if path := get("authority"); path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("authority: %w", err)
		}
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM(text)
		o.url = "https://" + get("at")
		o.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}}
	}
	return o, nil
}

// call sends a request and decodes the JSON answer into out; it returns the status.
func (o *operatorClient) call(ctx context.Context, method, path string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return 0, fmt.Errorf("encode: %w", err)
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, o.url+path, body)
	if err != nil {
		return 0, fmt.Errorf("call operator API: %w", err)
	}
	req.Header.Set("Accept", "application/json")
	req.SetBasicAuth(o.name, o.key)
	resp, err := o.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("call operator API: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	if resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusBadRequest {
		return resp.StatusCode, responseError(text)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return resp.StatusCode, fmt.Errorf("read answer: %w", err)
	}
	return resp.StatusCode, nil
}

func responseError(text []byte) error {
	var t oper.ErrorBody
	if err := json.Unmarshal(text, &t); err != nil || t.Error == "" {
		return fmt.Errorf("%w: %s", errRefused, text)
	}
	lines := []string{t.Error}
	for _, p := range t.Problems {
		lines = append(lines, p.String())
	}
	return fmt.Errorf("%w: %s", errRefused, strings.Join(lines, "\n"))
}

// current fetches the revision in force.
func (o *operatorClient) current(ctx context.Context) (oper.Document, error) {
	var d oper.Document
	if _, err := o.call(ctx, http.MethodGet, "/document", nil, &d); err != nil {
		return d, err
	}
	return d, nil
}

// declare declares a document on a base revision, prints the result and waits up to
// watch until the new revision is in force everywhere.
func (o *operatorClient) declare(c *cobra.Command, base uint64, text []byte, watch time.Duration) error {
	note, _ := c.Flags().GetString("note")
	var v oper.Verdict
	status, err := o.call(c.Context(), http.MethodPost, "/document", oper.Declaration{Base: base, Author: o.name, Note: note, Doc: text}, &v)
	out := c.OutOrStdout()
	switch {
	case status == 0 && err != nil:
		return &exitError{exitUnknown, fmt.Errorf("%w: no answer; look at: dahliawinch history: %w", errUnknown, err)}
	case err != nil:
		return &exitError{exitRefused, err}
	}
	switch v.Verdict {
	case "accepted":
		fmt.Fprintf(out, "accepted as revision %d\n", v.Rev)
		return o.watch(c, v.Rev, watch)
	case "lost":
		return &exitError{exitLost, fmt.Errorf("%w: %s was first with revision %d", errLost, v.Winner, v.Rev)}
	case "refused":
		return &exitError{exitRefused, fmt.Errorf("%w: %s", errRefused, v.Detail)}
	default:
		return &exitError{exitUnknown, fmt.Errorf("%w: %s", errUnknown, v.Detail)}
	}
}

// watch prints a revision's rollout until it is in force everywhere or timeout ends.
func (o *operatorClient) watch(c *cobra.Command, rev uint64, timeout time.Duration) error {
	out, last, deadline := c.OutOrStdout(), "", time.Now().Add(timeout)
	for {
		var r oper.Rollout
		if _, err := o.call(c.Context(), http.MethodGet, fmt.Sprintf("/spread?rev=%d", rev), nil, &r); err != nil {
			return &exitError{exitUnknown, err}
		}
		missing := 0
		for _, row := range r.Rows {
			if !row.InForce {
				missing++
			}
		}
		if r.Answer != last {
			fmt.Fprintln(out, r.Answer)
			last = r.Answer
		}
		if missing == 0 && len(r.Rows) > 0 {
			return nil
		}
		if time.Now().After(deadline) {
			for _, row := range r.Rows {
				if !row.InForce {
					fmt.Fprintf(out, "%s %s %s\n", row.VM, row.Domain, row.Says)
				}
			}
			return &exitError{exitUnknown, fmt.Errorf("%w: not in force everywhere after %s", errUnknown, timeout)}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
