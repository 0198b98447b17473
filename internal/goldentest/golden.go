// Package goldentest compares the encodings of data that leaves a process (messages, records, settings) with golden
// files. Only tests use it. The flag -update-golden rewrites the files:
//
//	go test ./internal/records -run Golden -update-golden
//
// Golden files contain only the field names and bytes of the protocol and no Go identifiers, so they stay valid when
// identifiers are renamed.
package goldentest

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"drumpick/internal/jsoncodec"
)

var update = flag.Bool("update-golden", false, "rewrite the golden files with the current encodings")

// File is a golden file: a JSON object with an entry for each encoded value. JSON values are stored as JSON, all
// others as hexadecimal strings.
type File struct {
	t       *testing.T
	path    string
	entries map[string]json.RawMessage // by name
	checked map[string]bool            // names of the entries that the test has used
}

// Open reads the golden file testdata/name. The test fails at its end if an entry was not compared with any value.
// With -update-golden, Open does not read the file, and the end of the test writes it.
func Open(t *testing.T, name string) *File {
	t.Helper()
	f := &File{t: t, path: "testdata/" + name, entries: map[string]json.RawMessage{}, checked: map[string]bool{}}
	if !*update {
		raw, err := os.ReadFile(f.path)
		if err == nil {
			err = json.Unmarshal(raw, &f.entries)
		}
		if err != nil {
			t.Fatalf("%s: %v", f.path, err)
		}
	}
	t.Cleanup(f.close)
	return f
}

// WriteText writes a golden file that is not JSON if -update-golden is set, and otherwise does nothing.
func WriteText(t *testing.T, path string, text []byte) {
	t.Helper()
	if !*update {
		return
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// close writes the file if -update-golden is set. Otherwise it reports a test error for each entry that was not
// compared, unless only some subtests ran.
func (f *File) close() {
	if *update {
		if err := f.write(); err != nil {
			f.t.Error(err)
		}
		return
	}
	if strings.Contains(flag.Lookup("test.run").Value.String(), "/") {
		return // only some subtests ran
	}
	for name := range f.entries {
		if !f.checked[name] {
			f.t.Errorf("%s: entry %q was not compared", f.path, name)
		}
	}
}

// write writes the entries to the file in order of their names.
func (f *File) write() error {
	var compact, out bytes.Buffer
	e := json.NewEncoder(&compact)
	e.SetEscapeHTML(false)
	if err := e.Encode(f.entries); err != nil {
		return err
	}
	if err := json.Indent(&out, compact.Bytes(), "", " "); err != nil {
		return err
	}
	return errors.Join(os.MkdirAll("testdata", 0o755), os.WriteFile(f.path, out.Bytes(), 0o644))
}

// Check reports a test error if the encoded value got differs from the entry with the given name, and returns the
// entry's bytes. It fails the test if there is no such entry. With -update-golden, it first sets the entry to got.
func (f *File) Check(t *testing.T, name string, got []byte, isJSON bool) []byte {
	t.Helper()
	if *update {
		f.setEntry(t, name, got, isJSON)
	}
	want := f.Bytes(t, name, isJSON)
	if !bytes.Equal(got, want) {
		if !isJSON {
			t.Errorf("%s: %s:\n got %x\nwant %x", f.path, name, got, want)
		} else {
			t.Errorf("%s: %s:\n got %s\nwant %s", f.path, name, got, want)
		}
	}
	return want
}

// setEntry sets the entry with the given name, which close writes to the file.
func (f *File) setEntry(t *testing.T, name string, got []byte, isJSON bool) {
	t.Helper()
	if f.checked[name] {
		t.Errorf("%s: two values are named %q", f.path, name)
	}
	if !isJSON {
		got = fmt.Appendf(nil, "%q", hex.EncodeToString(got))
	}
	if !json.Valid(got) {
		t.Fatalf("%s: %s is not valid JSON: %s", f.path, name, got)
	}
	f.entries[name] = slices.Clone(got)
}

// Bytes returns the bytes of an entry: compact JSON, or the bytes decoded from hexadecimal. It marks the entry as
// compared, and fails the test if the file has no such entry.
func (f *File) Bytes(t *testing.T, name string, isJSON bool) []byte {
	t.Helper()
	f.checked[name] = true
	raw, ok := f.entries[name]
	if !ok {
		t.Fatalf("%s has no entry %q", f.path, name)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, raw); err != nil {
		t.Fatalf("%s: %s: %v", f.path, name, err)
	}
	if isJSON {
		return compact.Bytes()
	}
	var text string
	err := json.Unmarshal(raw, &text)
	var bin []byte
	if err == nil {
		bin, err = hex.DecodeString(text)
	}
	if err != nil {
		t.Fatalf("%s: %s: %v", f.path, name, err)
	}
	return bin
}

// Codec encodes and decodes values in one format.
type Codec struct {
	Tag    string // key of the struct tag that names the fields
	Encode func(v any) ([]byte, error)
	Decode func(raw []byte, v any) error // v is a pointer
}

// JSON is the codec of all JSON messages and records.
var JSON = Codec{"json", jsoncodec.Marshal, jsoncodec.Unmarshal}

// Direction says whether the code under test decodes a value, encodes it, or both.
type Direction int

// Directions of a value.
const (
	ReadWrite Direction = iota
	ReadOnly            // only decoded
	WriteOnly           // only encoded
)

// Case is a named value in which every field is set.
type Case struct {
	Name      string
	Value     any
	Direction Direction
	// AllowUnset permits unset fields in Value. Another case or check must cover these fields.
	AllowUnset bool
}

// Run compares each case with its entry of a golden file, in its own subtest: the value must encode to exactly the
// entry's bytes, and the entry must decode to the value, also with further JSON members (see CheckNames). A case's
// Direction can omit one of the two. A value with unset fields is a test error unless AllowUnset is set. The entry
// "NAME, zero" holds the zero value of a struct and shows which fields are omitted when empty; cases with AllowUnset
// or ReadOnly have no such entry.
func Run(t *testing.T, file string, c Codec, cases []Case) {
	t.Helper()
	f := Open(t, file)
	for _, x := range cases {
		t.Run(x.Name, func(t *testing.T) {
			if !x.AllowUnset {
				for _, field := range UnsetFields(x.Value, c.Tag) {
					t.Errorf("the test value does not set the field %s", field)
				}
			}
			f.compare(t, c, x, x.Name, x.Value)
			if v := reflect.ValueOf(x.Value); v.Kind() == reflect.Struct && !x.AllowUnset && x.Direction != ReadOnly {
				f.compare(t, c, x, x.Name+", zero", reflect.Zero(v.Type()).Interface())
			}
		})
	}
}

// compare compares the encoded value with the entry of the given name, and the decoded entry with the value. It
// omits the comparison that the case's Direction excludes.
func (f *File) compare(t *testing.T, c Codec, x Case, name string, value any) {
	t.Helper()
	isJSON := c.Tag == "json"
	var golden []byte
	if x.Direction == ReadOnly && !*update {
		golden = f.Bytes(t, name, isJSON)
	} else {
		got, err := c.Encode(value)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		golden = f.Check(t, name, got, isJSON)
	}
	if x.Direction == WriteOnly {
		return
	}
	decoded := reflect.New(reflect.TypeOf(value))
	if err := c.Decode(golden, decoded.Interface()); err != nil {
		t.Errorf("%s: %v", name, err)
	} else if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, value) {
		t.Errorf("%s decodes to\n     %+v\nwant %+v", name, got, value)
	} else if isJSON {
		CheckNames(t, c, name, golden, value)
	}
}

// UnsetFields returns the paths of the exported fields in a value, including nested values, that are zero or empty. It
// skips fields whose struct tag with the key tag is "-".
func UnsetFields(v any, tag string) []string {
	return unsetFieldsAt(reflect.ValueOf(v), tag, "")
}

// unsetFieldsAt returns the paths of the unset fields in v. path is the path of v itself.
func unsetFieldsAt(v reflect.Value, tag, path string) []string {
	if !v.IsValid() || v.IsZero() {
		return []string{path}
	}
	var all []string
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.Elem().Kind() == reflect.Struct {
			return unsetFieldsAt(v.Elem(), tag, path)
		}
	case reflect.Struct:
		for _, field := range reflect.VisibleFields(v.Type()) {
			name, _, _ := strings.Cut(field.Tag.Get(tag), ",")
			if field.Anonymous || !field.IsExported() || name == "-" {
				continue
			}
			all = append(all, unsetFieldsAt(v.FieldByIndex(field.Index), tag, path+"."+field.Name)...)
		}
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			return []string{path}
		}
		for i := range v.Len() {
			if v.Index(i).Kind() == reflect.Uint8 {
				break // a zero byte does not count as unset
			}
			all = append(all, unsetFieldsAt(v.Index(i), tag, fmt.Sprintf("%s[%d]", path, i))...)
		}
	case reflect.Map:
		if v.Len() == 0 {
			return []string{path}
		}
		for _, key := range v.MapKeys() {
			all = append(all, unsetFieldsAt(v.MapIndex(key), tag, fmt.Sprintf("%s[%v]", path, key))...)
		}
	}
	return all
}
