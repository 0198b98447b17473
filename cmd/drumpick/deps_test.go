package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The daemon's startup time, memory and processor share are limited, so it must not link the client,
// the simulation or other tools.
func TestDaemonLinksNoTools(t *testing.T) {
	requireNotLinked(t, ".", []string{
		"drumpick/client",
		"drumpick/internal/localcluster",
		"drumpick/internal/simulation",
		"drumpick/internal/jobspec",
		"drumpick/internal/linearizability",
		"drumpick/internal/loadtest",
		"go.etcd.io/bbolt",
		"github.com/santhosh-tekuri/jsonschema",
		"gopkg.in/yaml",
		"golang.org/x/term",
		"golang.org/x/text",
		"pgregory.net/rapid",
		"github.com/anishathalye/porcupine",
		"github.com/HdrHistogram/hdrhistogram-go",
		"github.com/shirou/gopsutil",
		"gonum.org/v1/gonum",
	})
}

// The scheduler makes no calls and does not know which controller leads, so that a test can supply
// all of its input and read all of its decisions.
func TestSchedulerLinksNoClients(t *testing.T) {
	requireNotLinked(t, "drumpick/internal/scheduler", []string{
		"drumpick/internal/store",
		"drumpick/internal/cloud",
		"drumpick/internal/workers",
		"drumpick/internal/peer",
		"drumpick/internal/httpclient",
		"drumpick/internal/election",
		"drumpick/internal/leader",
		"drumpick/internal/api",
		"github.com/valyala/fasthttp",
		"github.com/gofiber/fiber",
	})
}

// requireNotLinked fails the test if pkg depends on a forbidden package or on a subpackage of one.
func requireNotLinked(t *testing.T, pkg string, forbidden []string) {
	t.Helper()
	out, err := exec.Command("go", "list", "-deps", pkg).Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, dependency := range strings.Fields(string(out)) {
		for _, path := range forbidden {
			if dependency == path || strings.HasPrefix(dependency, path+"/") {
				t.Errorf("%s links %s, want no dependency on %s", pkg, dependency, path)
			}
		}
	}
}
