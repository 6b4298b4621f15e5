package oper

import (
	"crypto/subtle"
	"encoding/base64"
	"strings"

	"github.com/valyala/fasthttp"

	"dahliawinch/internal/conf/doc"
)

// open are the paths that need no key: the platform's balancer and metrics ask them.
var open = map[string]bool{"/health": true, "/ready": true, "/metrics": true}

// admit finds the operator by name and key (HTTP basic authentication, which a
// phone's browser asks for by itself). Without declared operators anyone may come
// in and names themselves, which is for test deployments only.
func (s *Server) admit(ctx *fasthttp.RequestCtx) (author string, ok bool) {
	if open[string(ctx.Path())] {
		return "", true
	}
	name, key, _ := basic(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if len(s.operators) == 0 {
		return name, true
	}
	hash, known := s.operators[name]
	same := subtle.ConstantTimeCompare([]byte(hash), []byte(doc.Hash(key))) == 1
	if known && same {
		return name, true
	}
	ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, `Basic realm="dahliawinch"`)
	reply(ctx, fasthttp.StatusUnauthorized, Trouble{Error: "name or key is wrong; nothing was done"})
	return "", false
}

func basic(header string) (name, key string, ok bool) {
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
