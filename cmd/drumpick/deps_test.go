package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The daemon links nothing of the client, the stand-ins, or what is there for them: its
// start, memory and processor share are counted.
func TestLean(t *testing.T) {
	without(t, ".", []string{
		"drumpick/client", "drumpick/internal/localcluster", "drumpick/internal/simulation", "drumpick/internal/jobspec", "drumpick/internal/linearizability", "drumpick/internal/loadtest",
		"go.etcd.io/bbolt", "github.com/santhosh-tekuri/jsonschema", "gopkg.in/yaml", "golang.org/x/term", "golang.org/x/text",
		"pgregory.net/rapid", "github.com/anishathalye/porcupine", "github.com/HdrHistogram/hdrhistogram-go", "github.com/shirou/gopsutil", "gonum.org/v1/gonum",
	})
}

// What decides neither calls anybody nor knows who leads: whatever it does can be told to it
// and read from it in a test.
func TestDecisionsCallNobody(t *testing.T) {
	without(t, "drumpick/internal/scheduler", []string{
		"drumpick/internal/store", "drumpick/internal/cloud", "drumpick/internal/workers", "drumpick/internal/peer", "drumpick/internal/httpclient",
		"drumpick/internal/election", "drumpick/internal/leader", "drumpick/internal/api", "github.com/valyala/fasthttp", "github.com/gofiber/fiber",
	})
}

// without lists what a package links, and finds nothing of what it is to do without.
func without(t *testing.T, pkg string, nots []string) {
	t.Helper()
	out, err := exec.Command("go", "list", "-deps", pkg).Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, dep := range strings.Fields(string(out)) {
		for _, not := range nots {
			if dep == not || strings.HasPrefix(dep, not+"/") {
				t.Errorf("%s links %s", pkg, dep)
			}
		}
	}
}
