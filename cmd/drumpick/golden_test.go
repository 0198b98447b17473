package main

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"drumpick/internal/goldentest"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics keep their names. Metrics with labels are registered with their first value and are not
// checked here.
func TestGoldenMetrics(t *testing.T) {
	var names []string
	for _, name := range metrics.ListMetricNames() {
		if strings.HasPrefix(name, "drumpick_") && !strings.Contains(name, "{") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	raw, err := json.Marshal(names)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Open(t, "golden-metrics.json").Check(t, "names", raw, true)
}

// The program keeps its commands and flags.
func TestGoldenCommandLine(t *testing.T) {
	root := newCommand()
	var words []string
	for _, c := range root.Commands() {
		words = append(words, c.Name())
	}
	for _, word := range strings.Fields(root.PersistentFlags().FlagUsages()) {
		if strings.HasPrefix(word, "--") {
			words = append(words, word)
		}
	}
	raw, err := json.Marshal(words)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Open(t, "golden-command-line.json").Check(t, "drumpick", raw, true)
}
