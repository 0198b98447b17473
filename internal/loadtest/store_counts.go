package loadtest

import (
	"strings"

	"github.com/gofiber/fiber/v2"
)

// Kinds of store requests.
const (
	kindRead    = "read"
	kindList    = "list"
	kindWrite   = "write"
	kindCompare = "compare" // a commit that compares and writes nothing
	kindWatch   = "watch"
	kindLease   = "lease"
)

// storeCounts counts the requests to a store and the bytes of the request and response bodies, by kind of request.
type storeCounts struct{ kinds map[string]*trafficCounter }

func newStoreCounts() *storeCounts {
	s := &storeCounts{kinds: map[string]*trafficCounter{}}
	for _, kind := range []string{kindRead, kindList, kindWrite, kindCompare, kindWatch, kindLease} {
		s.kinds[kind] = &trafficCounter{}
	}
	return s
}

// requestKind returns the kind of a store request.
func requestKind(method, path string, body []byte) string {
	switch {
	case path == "/watch":
		return kindWatch
	case strings.HasPrefix(path, "/grants"):
		return kindLease
	case path == "/commit" && !strings.Contains(string(body), `"writes":[{`):
		return kindCompare
	case method == fiber.MethodPost:
		return kindWrite
	case path == "/store":
		return kindList
	}
	return kindRead
}

// count is a middleware that counts each request after its response.
func (s *storeCounts) count(c *fiber.Ctx) error {
	kind := requestKind(c.Method(), c.Path(), c.Body())
	err := c.Next()
	s.kinds[kind].add(len(c.Response().Body()), len(c.Body()))
	return err
}

func (s *storeCounts) read() map[string]Traffic {
	all := map[string]Traffic{}
	for kind, t := range s.kinds {
		all[kind] = t.read()
	}
	return all
}
