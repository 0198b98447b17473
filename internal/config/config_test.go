package config

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// validSettings is a complete settings file without errors.
const validSettings = `
node_name = "n-0"
zone = "a"
bind = "10.0.0.1:80"
back = "10.0.0.1:81"
new_field = "ignored"
[[seeds]]
node_name = "n-1"
zone = "b"
peer_addr = "10.0.0.2:81"
[external]
cloud = "10.2.0.2:84"
state = "10.2.0.1:23"
[facts]
zones = ["a", "b"]
time_bound_ms = 100.0
[[facts.teams]]
name = "team"
[facts.workers]
report_s = 2.0
lease_s = 12.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 32.0
[facts.state]
rps = 150.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 16
[facts.cloud]
rps = 4.0
list_lag_s = 3.0
[facts.resources]
cores = 0.06
ram_mb = 125.0
fd_limit = 1200
`

// Parse returns the values of the settings, the number of controllers by the number of peers, and the
// default options. It ignores unknown keys, which a later version of the platform may add.
func TestParse(t *testing.T) {
	c, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if c.Node != "n-0" || c.Deployment.Nodes != 2 || c.Deployment.Workers.CancelS != 32 || c.Options != DefaultOptions() {
		t.Errorf("parsed as %+v, want the values of the text, 2 nodes and the default options", c)
	}
}

// Lowest takes the lower of each current and upcoming limit; a limit without an upcoming value stays.
// Otherwise requests would exceed a limit once it changes.
func TestLowestLimits(t *testing.T) {
	now := StoreLimits{RPS: 150, WriteRPS: 20, ValueKB: 8, TxnOps: 16}
	for _, x := range []struct {
		text string
		want StoreLimits
	}{
		{"", now},
		{"[facts.state.next]\n", now},
		{"[facts.state.next]\nvalue_kb = 2.0\n", StoreLimits{RPS: 150, WriteRPS: 20, ValueKB: 2, TxnOps: 16}},
		{"[facts.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 5\nlater = 1\n", StoreLimits{RPS: 150, WriteRPS: 15, ValueKB: 2, TxnOps: 5}},
		{"[facts.state.next]\nrps = 100.0\nvalue_kb = 16.0\n", StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 16}},
	} {
		c, err := Parse([]byte(strings.Replace(validSettings, "[facts.cloud]", x.text+"[facts.cloud]", 1)))
		if err != nil {
			t.Fatalf("%s: %v", x.text, err)
		}
		if got := c.Deployment.Store.Lowest(); got != x.want {
			t.Errorf("%s: %+v, want %+v", x.text, got, x.want)
		}
	}
}

// Every invalid setting is a one-line error whose text and Key name the key, so that operators find it.
func TestInvalidSettingsNameTheKey(t *testing.T) {
	for _, x := range []struct{ from, to, want, key string }{
		{`node_name = "n-0"`, ``, "node_name is missing", "node_name"},
		{`zone = "a"`, `zone = ""`, "zone is missing", "zone"},
		{`bind = "10.0.0.1:80"`, `bind = "nowhere"`, "bind", "bind"},
		{`state = "10.2.0.1:23"`, ``, "external.state is missing", "external.state"},
		{`node_name = "n-1"`, `node_name = "n-0"`, "appears twice", "seeds[0].node_name"},
		{`zones = ["a", "b"]`, `zones = []`, "facts.zones", "facts.zones"},
		{`report_s = 2.0`, `report_s = 0.0`, "facts.workers.report_s", "facts.workers.report_s"},
		{`report_s = 2.0`, `report_s = nan`, "facts.workers.report_s", "facts.workers.report_s"},
		{`lease_s = 12.0`, `lease_s = 1.0`, "facts.workers.lease_s", "facts.workers.lease_s"},
		{`cancel_s = 32.0`, `cancel_s = 12.0`, "facts.workers.cancel_s", "facts.workers.cancel_s"},
		{`txn_ops = 16`, `txn_ops = 1`, "facts.state.txn_ops", "facts.state.txn_ops"},
		{`write_rps = 20.0`, `write_rps = -1.0`, "facts.state.write_rps", "facts.state.write_rps"},
		{`[facts.cloud]`, "[facts.state.next]\nvalue_kb = 0.0\n[facts.cloud]", "facts.state.next.value_kb", "facts.state.next.value_kb"},
		{`[facts.cloud]`, "[facts.state.next]\ntxn_ops = 1\n[facts.cloud]", "facts.state.next.txn_ops", "facts.state.next.txn_ops"},
		{`[facts.cloud]`, "[facts.state.next]\nwrite_rps = nan\n[facts.cloud]", "facts.state.next.write_rps", "facts.state.next.write_rps"},
		{`[facts.cloud]`, "[facts.state.next]\nrps = -3.0\n[facts.cloud]", "facts.state.next.rps", "facts.state.next.rps"},
		{`[facts.cloud]`, "[facts.state.next]\ntxn_ops = \"few\"\n[facts.cloud]", "txn_ops", "facts.state.next.txn_ops"},
		{`ram_mb = 125.0`, `ram_mb = "much"`, "ram_mb", "facts.resources.ram_mb"},
		{`name = "team"`, "name = \"team\"\ncpus_max = -1.0", "facts.teams[0]", "facts.teams[0]"},
		{`[facts]`, `[facts`, "line", ""},
	} {
		text := strings.Replace(validSettings, x.from, x.to, 1)
		if text == validSettings {
			t.Fatalf("%q is not in the settings", x.from)
		}
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s -> %s: %v, want an error with %q", x.from, x.to, err, x.want)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s -> %s: more than one line: %v", x.from, x.to, err)
		}
		var settingErr *Error
		if !errors.As(err, &settingErr) {
			t.Errorf("%s -> %s: got %T, want an *Error", x.from, x.to, err)
		} else if settingErr.Key != x.key {
			t.Errorf("%s -> %s: got the key %q, want %q", x.from, x.to, settingErr.Key, x.key)
		}
	}
}

// Options that are not set keep their defaults; every invalid option is an error that names the key.
func TestLoadOptions(t *testing.T) {
	for _, x := range []struct{ text, want, key string }{
		{"", "", ""},
		{"[rounds]\nround_reports = 3\n[forecast]\nalpha_up = -0.1\nwindow = 4\n", "", ""},
		{"[forecast]\nalpha_up = 0.5\n", "alpha_up", "forecast.alpha_up"},
		{"[forecast]\nalpha_down = NaN\n", "alpha_down", "forecast.alpha_down"},
		{"[forecast]\nwindow = none\n", "window", "forecast.window"},
		{"[rounds]\nlength = 3\n", "[rounds] length is not known", "rounds.length"},
	} {
		path := filepath.Join(t.TempDir(), "drumpick.ini")
		if err := os.WriteFile(path, []byte(x.text), 0o600); err != nil {
			t.Fatal(err)
		}
		o, err := LoadOptions(path)
		switch {
		case x.want == "" && err != nil:
			t.Errorf("%q: %v", x.text, err)
		case x.want != "" && (err == nil || !strings.Contains(err.Error(), x.want)):
			t.Errorf("%q: %v, want an error with %q", x.text, err, x.want)
		case x.want == "" && x.text != "" && (o.RoundIntervals != 3 || o.ForecastAlphaUp != -0.1 || o.ForecastWindow != 4 || o.ForecastAlphaDown != 0.7):
			t.Errorf("%q: read as %+v, want round 3, alpha -0.1 and 0.7, window 4", x.text, o)
		}
		var settingErr *Error
		if x.key != "" && (!errors.As(err, &settingErr) || settingErr.Key != x.key) {
			t.Errorf("%q: got %#v, want an *Error with the key %q", x.text, err, x.key)
		}
	}
	if _, err := LoadOptions(filepath.Join(t.TempDir(), "none.ini")); err == nil {
		t.Error("a missing file: got no error, want one")
	}
}

// A key that differs from a known one in case only is a key that is not known, and ignored, in every table.
// The TOML decoder would take its value for the known key, or reject the file for its type.
func TestParseIgnoresKeysInOtherCase(t *testing.T) {
	want, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	text := validSettings
	for known, added := range map[string]string{
		`zone = "a"`:        `Zone = "b"`,
		`peer_addr = `:      `PEER_ADDR = 7`,
		`state = "10.2`:     `State = ["x"]`,
		`time_bound_ms = 1`: `Nodes = "seven"`,
		`name = "team"`:     `Name = "other"`,
		`cancel_s = 32.0`:   `Cancel_s = 1.0`,
		`txn_ops = 16`:      `TXN_OPS = 1`,
		`ram_mb = 125.0`:    `Ram_mb = "much"`,
	} {
		if !strings.Contains(text, "\n"+known) {
			t.Fatalf("the settings have no %s", known)
		}
		text = strings.Replace(text, "\n"+known, "\n"+added+"\n"+known, 1)
	}
	if got, err := Parse([]byte(text)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("parsed as %+v, %v, want %+v", got, err, want)
	}
}
