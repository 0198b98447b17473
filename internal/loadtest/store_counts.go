package loadtest

import (
	"strings"

	"github.com/gofiber/fiber/v2"
)

// Kinds of requests to the state service.
const (
	kindRead, kindList, kindWrite, kindCompare, kindWatch, kindLease = "read", "list", "write", "compare", "watch", "lease"
)

// storeCounts counts the requests to a state service by kind.
type storeCounts struct{ kinds map[string]*tally }

func newStoreCounts() *storeCounts {
	s := &storeCounts{kinds: map[string]*tally{}}
	for _, kind := range []string{kindRead, kindList, kindWrite, kindCompare, kindWatch, kindLease} {
		s.kinds[kind] = &tally{}
	}
	return s
}

// kindOf tells what kind of request one is.
func kindOf(method, path string, body []byte) string {
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

// count counts one request, once it is answered.
func (s *storeCounts) count(c *fiber.Ctx) error {
	kind := kindOf(c.Method(), c.Path(), c.Body())
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
