package termcheck

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

const moduleRoot = "../.."

func TestNoBannedWordsInIdentifiers(t *testing.T) {
	findings, err := ProjectChecker().Check(moduleRoot)
	if err != nil {
		t.Fatal(err)
	}
	for _, finding := range findings {
		t.Error(finding)
	}
}

func TestEveryExceptionHasAReasonAndIsNeeded(t *testing.T) {
	project := ProjectChecker()
	withoutExceptions, err := Checker{Banned: project.Banned}.Check(moduleRoot)
	if err != nil {
		t.Fatal(err)
	}
	for _, exception := range project.Exceptions {
		if exception.Reason == "" {
			t.Errorf("exception for %q in %s has no reason", exception.Word, exception.Package)
		}
		needed := slices.ContainsFunc(withoutExceptions, func(f Finding) bool {
			return f.Word == exception.Word && filepath.ToSlash(filepath.Dir(f.File)) == exception.Package
		})
		if !needed {
			t.Errorf("exception for %q in %s is not needed any more", exception.Word, exception.Package)
		}
	}
}

// sample declares banned words in every kind of declaration. TestCheckFindsEachKindOfDeclaration lists the expected
// findings.
const sample = `package intake

import shelf "sort"

type Oath struct {
	wasDeaf bool
	Baton   uint64 ` + "`json:\"baton\"`" + `
	Tick    uint64
	WindDownS float64
}

type plan[Rigs any] interface{ Disown(stint int) (shots []string) }

const LEDGER_KEY = "tenure"

func (yard *Oath) HTTPCheckin() {
	island, fine := 1, 2
	for stray := range fine {
		_ = stray + island
	}
reign:
	for {
		break reign
	}
	_ = func(conductor string) {}
	_ = shelf.Ints
	var frontier, tick int // a tick of a clock is no field
	_, _ = frontier, tick
}
`

func TestCheckFindsEachKindOfDeclaration(t *testing.T) {
	findings := checkSample(t, ProjectChecker(), "pkg", sample)
	got := make([]string, 0, len(findings))
	for _, finding := range findings {
		got = append(got, finding.String())
	}
	want := []string{
		`pkg/sample.go:1: identifier intake contains "intake": use API`,
		`pkg/sample.go:3: identifier shelf contains "shelf": use paged records`,
		`pkg/sample.go:5: identifier Oath contains "oath": use attestation record`,
		`pkg/sample.go:6: identifier wasDeaf contains "deaf": use unreachable`,
		`pkg/sample.go:7: identifier Baton contains "baton": use fencing token`,
		`pkg/sample.go:8: identifier Tick contains "tick": use sequence number`,
		`pkg/sample.go:9: identifier WindDownS contains "wind down": use grace period`,
		`pkg/sample.go:12: identifier Rigs contains "rigs": use machine types`,
		`pkg/sample.go:12: identifier Disown contains "disown": use what is done, such as release`,
		`pkg/sample.go:12: identifier stint contains "stint": use incarnation`,
		`pkg/sample.go:12: identifier shots contains "shots": use tasks`,
		`pkg/sample.go:14: identifier LEDGER_KEY contains "ledger": use records`,
		`pkg/sample.go:16: identifier yard contains "yard": use what it is, such as fake fleet`,
		`pkg/sample.go:16: identifier HTTPCheckin contains "checkin": use heartbeat`,
		`pkg/sample.go:17: identifier island contains "island": use partitioned controllers`,
		`pkg/sample.go:18: identifier stray contains "stray": use duplicate attempt`,
		`pkg/sample.go:21: identifier reign contains "reign": use leader change`,
		`pkg/sample.go:25: identifier conductor contains "conductor": use leader`,
		`pkg/sample.go:27: identifier frontier contains "frontier": use watermark`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("got findings\n%q\nwant\n%q", got, want)
	}
}

func TestCheckIgnoresTagsLiteralsCommentsAndPartsOfWords(t *testing.T) {
	const clean = `package pkg

// Machine was deaf; its baton is old.
type Machine struct {
	FencingToken uint64 ` + "`json:\"baton\"`" + ` // the baton
	Screenshots  int
	Trigger      string
	Planters     string
}

var name = "tenure"
`
	got := checkSample(t, Checker{Banned: []BannedWord{{Word: "shots"}, {Word: "rig"}, {Word: "baton"}, {Word: "tenure"}, {Word: "plant"}}}, "pkg", clean)
	if len(got) != 0 {
		t.Errorf("got findings %v, want none", got)
	}
}

func TestExceptionAppliesOnlyInItsPackage(t *testing.T) {
	checker := Checker{
		Banned:     []BannedWord{{Word: "tick", UseInstead: "sequence number"}},
		Exceptions: []Exception{{Package: "clock", Word: "tick", Reason: "a clock's tick"}},
	}
	const source = "package p\n\nvar tick int\n"
	if got := checkSample(t, checker, "clock", source); len(got) != 0 {
		t.Errorf("in the excepted package: got findings %v, want none", got)
	}
	if got := checkSample(t, checker, "other", source); len(got) != 1 {
		t.Errorf("in another package: got findings %v, want one", got)
	}
}

func TestCheckReportsFilesThatCannotBeParsed(t *testing.T) {
	root := writeSample(t, "pkg", "package")
	if _, err := ProjectChecker().Check(root); err == nil {
		t.Error("got no error, want a parse error")
	}
}

func TestSplitWords(t *testing.T) {
	for identifier, want := range map[string][]string{
		"wasDeaf":     {"was", "deaf"},
		"HTTPBaton2x": {"http", "baton", "x"},
		"BatonID":     {"baton", "id"},
		"LEDGER_KEY":  {"ledger", "key"},
		"DueS":        {"due", "s"},
		"_":           nil,
	} {
		if got := SplitWords(identifier); !slices.Equal(got, want) {
			t.Errorf("SplitWords(%q): got %q, want %q", identifier, got, want)
		}
	}
}

// checkSample checks a directory tree with a single file.
func checkSample(t *testing.T, checker Checker, packageDir, source string) []Finding {
	t.Helper()
	findings, err := checker.Check(writeSample(t, packageDir, source))
	if err != nil {
		t.Fatal(err)
	}
	return findings
}

// writeSample writes a source file into a package directory below a new root directory, and returns the root.
func writeSample(t *testing.T, packageDir, source string) string {
	t.Helper()
	root := t.TempDir()
	if err := os.MkdirAll(filepath.Join(root, packageDir), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(root, packageDir, "sample.go"), []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	return root
}
