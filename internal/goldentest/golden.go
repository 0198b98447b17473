// Package goldentest compares the encoded forms that leave a process (messages, records, settings) with golden
// files. Only tests use it. The flag -update-golden writes the files anew:
//
//	go test ./internal/records -run Golden -update-golden
//
// A test names its forms by the field names and bytes of the protocol and never by Go
// identifiers, so it holds while those are renamed.
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
)

var update = flag.Bool("update-golden", false, "write the golden files from the present code")

// File is a golden file: a JSON object with an entry for each form. JSON forms stand there
// as JSON, all others as hexadecimal text.
type File struct {
	t       *testing.T
	path    string
	entries map[string]json.RawMessage
	checked map[string]bool
}

// Open reads the golden file testdata/name. When the test ends, an entry that no form was
// compared with is an error; with -update-golden the file is written instead.
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

// WriteText writes a golden file that is no JSON, with -update-golden alone.
func WriteText(t *testing.T, path string, text []byte) {
	t.Helper()
	if !*update {
		return
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// close writes the file with -update-golden, and else checks that every entry was compared.
func (f *File) close() {
	if *update {
		if err := f.write(); err != nil {
			f.t.Error(err)
		}
		return
	}
	if strings.Contains(flag.Lookup("test.run").Value.String(), "/") {
		return // only some subtests were run
	}
	for name := range f.entries {
		if !f.checked[name] {
			f.t.Errorf("%s: no test compares %q", f.path, name)
		}
	}
}

// write writes the entries in the order of their names.
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

// Check compares bytes with an entry, and returns the entry's bytes.
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

// setEntry puts a form into the file that is written.
func (f *File) setEntry(t *testing.T, name string, got []byte, isJSON bool) {
	t.Helper()
	if f.checked[name] {
		t.Errorf("%s: two forms are named %q", f.path, name)
	}
	if !isJSON {
		got = fmt.Appendf(nil, "%q", hex.EncodeToString(got))
	}
	if !json.Valid(got) {
		t.Fatalf("%s: %s is no JSON: %s", f.path, name, got)
	}
	f.entries[name] = slices.Clone(got)
}

// Bytes returns an entry's bytes: JSON without white space between its parts.
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

// Codec encodes and decodes the forms of one kind.
type Codec struct {
	Tag    string // struct tag that names the fields
	Encode func(v any) ([]byte, error)
	Decode func(raw []byte, v any) error // v is a pointer
}

// JSON is the codec of the standard library.
var JSON = Codec{"json", json.Marshal, json.Unmarshal}

// Direction says whether the code reads a form, writes it, or both.
type Direction int

// Directions of a form.
const (
	ReadWrite Direction = iota
	ReadOnly            // the code only reads it
	WriteOnly           // the code only writes it
)

// Case is a form and a value of it in which every field is set.
type Case struct {
	Name      string
	Value     any
	Direction Direction
	// AllowUnset says that the value leaves fields unset on purpose: another case sets them all.
	AllowUnset bool
}

// Run compares each case with its entry of a golden file, in a subtest of its own: the value
// is written as exactly these bytes, and they are read as the value. The zero value of each
// type, under the name with "zero" behind it, shows which fields may be left out.
func Run(t *testing.T, file string, c Codec, cases []Case) {
	t.Helper()
	f := Open(t, file)
	for _, x := range cases {
		t.Run(x.Name, func(t *testing.T) {
			if !x.AllowUnset {
				for _, field := range UnsetFields(x.Value, c.Tag) {
					t.Errorf("the value of the test leaves the field %s unset", field)
				}
			}
			f.compare(t, c, x, x.Name, x.Value)
			if v := reflect.ValueOf(x.Value); v.Kind() == reflect.Struct && !x.AllowUnset && x.Direction != ReadOnly {
				f.compare(t, c, x, x.Name+", zero", reflect.Zero(v.Type()).Interface())
			}
		})
	}
}

// compare compares the encoded value with an entry, and the decoded entry with the value, as the case says.
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
	to := reflect.New(reflect.TypeOf(value))
	if err := c.Decode(golden, to.Interface()); err != nil {
		t.Errorf("%s: %v", name, err)
	} else if got := to.Elem().Interface(); !reflect.DeepEqual(got, value) {
		t.Errorf("%s is read as\n     %+v\nwant %+v", name, got, value)
	}
}

// UnsetFields lists the exported fields of a value, and of all that is in it, that are zero or empty. A field that the tag
// leaves out ("-") is not among them.
func UnsetFields(v any, tag string) []string {
	return unsetFieldsAt(reflect.ValueOf(v), tag, "")
}

// unsetFieldsAt lists the unset fields of a value that is found at a path.
func unsetFieldsAt(v reflect.Value, tag, at string) []string {
	if !v.IsValid() || v.IsZero() {
		return []string{at}
	}
	var all []string
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.Elem().Kind() == reflect.Struct {
			return unsetFieldsAt(v.Elem(), tag, at)
		}
	case reflect.Struct:
		for _, field := range reflect.VisibleFields(v.Type()) {
			name, _, _ := strings.Cut(field.Tag.Get(tag), ",")
			if field.Anonymous || !field.IsExported() || name == "-" {
				continue
			}
			all = append(all, unsetFieldsAt(v.FieldByIndex(field.Index), tag, at+"."+field.Name)...)
		}
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			return []string{at}
		}
		for i := range v.Len() {
			if v.Index(i).Kind() == reflect.Uint8 {
				break // a zero byte is as good as another
			}
			all = append(all, unsetFieldsAt(v.Index(i), tag, fmt.Sprintf("%s[%d]", at, i))...)
		}
	case reflect.Map:
		if v.Len() == 0 {
			return []string{at}
		}
		for _, key := range v.MapKeys() {
			all = append(all, unsetFieldsAt(v.MapIndex(key), tag, fmt.Sprintf("%s[%v]", at, key))...)
		}
	}
	return all
}
