package config

import (
	"bytes"
	"os"
	"reflect"
	"testing"

	"drumpick/internal/goldentest"

	"github.com/pelletier/go-toml/v2"
)

// Every key of the settings is read into its own field and written under the same name, because the
// local cluster writes the settings files of its controllers.
func TestGoldenSettings(t *testing.T) {
	rps, writeRPS, valueKB, txnOps := 11.5, 12.5, 13.5, 14
	want := Config{
		Node: "n-1", Zone: "a", UserAddr: "10.0.0.1:80", PeerAddr: "10.0.0.1:81",
		Peers:    []Peer{{Node: "n-2", Zone: "b", Addr: "10.0.0.2:81"}},
		External: External{Cloud: "10.0.0.3:80", Store: "10.0.0.4:80"},
		Deployment: Deployment{
			Nodes: 2, Zones: []string{"a", "b"}, MaxClockErrorMS: 100.5,
			Teams:      []Team{{Name: "vision", GuaranteedCPUs: 1.5, LimitCPUs: 2.5, GuaranteedGPUs: 3.5, LimitGPUs: 4.5}},
			Objectives: []Objective{{Kind: KindWait, Class: "train", WithinS: 5.5, Share: 0.9, DeadlineFactor: 1.5}},
			Workers:    Workers{HeartbeatS: 1.5, LeaseS: 6.5, GangWaitS: 7.5, GangPeerLossS: 8.5, CancelS: 16.5},
			Store: StoreLimits{
				RPS: 21.5, WriteRPS: 22.5, ValueKB: 23.5, TxnOps: 24,
				Next: UpcomingLimits{RPS: &rps, WriteRPS: &writeRPS, ValueKB: &valueKB, TxnOps: &txnOps},
			},
			Cloud:     CloudLimits{RPS: 31.5, ListLagS: 32.5},
			Resources: Resources{Cores: 1.5, RAMMB: 256.5, FDLimit: 2000},
		},
	}
	for _, field := range goldentest.UnsetFields(want, "toml") {
		t.Errorf("the value of this test leaves the field %s unset", field)
	}
	written, err := toml.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	const path = "testdata/golden-settings.toml"
	goldentest.WriteText(t, path, written)
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, golden) {
		t.Errorf("the settings are written as\n%s\nwant\n%s", written, golden)
	}
	want.Options = DefaultOptions()
	if got, err := Parse(golden); err != nil || !reflect.DeepEqual(*got, want) {
		t.Errorf("%s is read as\n     %+v, %v\nwant %+v", path, got, err, want)
	}
}

// The kinds of objectives keep their names in the settings: a renamed kind would no longer match.
func TestGoldenObjectives(t *testing.T) {
	goldentest.Run(t, "golden-objectives.json", goldentest.JSON, []goldentest.Case{
		{Name: "kinds", Direction: goldentest.WriteOnly, Value: []string{KindWait, KindDeadline, KindGuarantee}},
	})
}

// Every key of the operators' file sets its own option, independently of the others.
func TestGoldenOptions(t *testing.T) {
	want := Options{
		RoundIntervals: 3.5, ForecastAlphaUp: -0.3, ForecastAlphaDown: 0.6, ForecastWindow: 9, ForecastPercentile: 91, LeaderLeaseIntervals: 4.5, IdleStartups: 5.5,
		CapacityBackoffStartups: 6.5, OperatorAPI: true, Watermarks: true, LeaseExpiryProofs: true,
		HeartbeatRelay: true, LoadShedding: true, Guarantees: true,
		Reservations: true, BeginWithinS: 7.5, ZoneHealth: true,
	}
	got, defaults := reflect.ValueOf(want), reflect.ValueOf(DefaultOptions())
	for i := range got.NumField() {
		if got.Field(i).IsZero() || got.Field(i).Equal(defaults.Field(i)) {
			t.Errorf("the value of this test leaves the field %s at its default", got.Type().Field(i).Name)
		}
	}
	if got, err := LoadOptions("testdata/golden-options.ini"); err != nil || got != want {
		t.Errorf("the options are read as\n     %+v, %v\nwant %+v", got, err, want)
	}
	// Sets one switch at a time: two swapped switches would go unnoticed if both were on.
	for key, want := range map[string]func(*Options) *bool{
		"[operator]\nenabled":   func(o *Options) *bool { return &o.OperatorAPI },
		"[takeover]\nmarks":     func(o *Options) *bool { return &o.Watermarks },
		"[takeover]\nlapses":    func(o *Options) *bool { return &o.LeaseExpiryProofs },
		"[relay]\nenabled":      func(o *Options) *bool { return &o.HeartbeatRelay },
		"[overload]\nshed":      func(o *Options) *bool { return &o.LoadShedding },
		"[zones]\ndark":         func(o *Options) *bool { return &o.ZoneHealth },
		"[guarantees]\nenabled": func(o *Options) *bool { return &o.Guarantees },
		"[largest]\nenabled":    func(o *Options) *bool { return &o.Reservations },
	} {
		path := t.TempDir() + "/options.ini"
		if err := os.WriteFile(path, []byte(key+" = true\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		one := DefaultOptions()
		*want(&one) = true
		if got, err := LoadOptions(path); err != nil || got != one {
			t.Errorf("%q is read as %+v, %v, want %+v", key, got, err, one)
		}
	}
}
