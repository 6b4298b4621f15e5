package oper

import (
	"crypto/subtle"
	"encoding/base64"
	"strings"

	"github.com/valyala/fasthttp"

	"dahliawinch/internal/conf/doc"
)

// publicPaths need no key: the platform's balancer and metrics collector read them.
var publicPaths = map[string]bool{"/health": true, "/ready": true, "/metrics": true}

// authenticate checks an operator's name and key (HTTP basic authentication, for which
// a phone's browser prompts by itself). Without configured operators it accepts any
// name, which is for test deployments only.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (author string, ok bool) {
	if publicPaths[string(ctx.Path())] {
		return "", true
	}
	name, key, _ := parseBasic(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if len(s.operators) == 0 {
		return name, true
	}
	hash, known := s.operators[name]
	match := subtle.ConstantTimeCompare([]byte(hash), []byte(doc.Hash(key))) == 1
	if known && match {
		return name, true
	}
	ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, `Basic realm="dahliawinch"`)
	writeJSON(ctx, fasthttp.StatusUnauthorized, ErrorBody{Error: "name or key is wrong; nothing was done"})
	return "", false
}

func parseBasic(header string) (name, key string, ok bool) {
	text, ok := strings.CutPrefix(header, "Basic ")
	if !ok {
		return "", "", false
	}
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return "", "", false
	}
	return strings.Cut(string(raw), ":")
}
