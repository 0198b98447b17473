package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each command line prints the expected text; an invalid one gives a one-line error with the reason.
func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("node_name = \"n-0\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		args []string
		want string
		ok   bool
	}{
		{[]string{"--version"}, version, true},
		{[]string{"--help"}, "--config", true},
		{[]string{}, "--config FILE is required", false},
		{[]string{"check"}, "--config FILE is required", false},
		{[]string{"check", "--config", bad}, "zone is missing", false},
		{[]string{"--config", bad + ".none"}, "no such file", false},
		{[]string{"--config", bad, "extra"}, "unknown command", false},
	} {
		var out bytes.Buffer
		cmd := newCommand()
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		cmd.SetArgs(x.args)
		err := cmd.Execute()
		text := out.String()
		if err != nil {
			text += err.Error()
		}
		if (err == nil) != x.ok || !strings.Contains(text, x.want) || !x.ok && strings.Contains(text, "\n") {
			t.Errorf("%v: got error %v, text %q, want text %q, success %v", x.args, err, text, x.want, x.ok)
		}
	}
}
