package goldentest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// otherValues are JSON values of every type. Whatever the type of a field, most of them do not suit it.
var otherValues = []string{`null`, `true`, `7`, `"x"`, `[]`, `[7]`, `{}`, `{"x":7}`, `"` + strings.Repeat("long", 1000) + `"`}

// CheckNames reports a test error unless a message is decoded as before if each of its objects has further members:
// one whose name differs from a field's in case only, one of an unknown name, or an earlier one of a field's own name,
// each with a value of any type.
func CheckNames(t *testing.T, c Codec, name string, message []byte, want any) {
	t.Helper()
	typ := reflect.TypeOf(want)
	for _, value := range otherValues {
		for kind, added := range map[string]func(field, member string) string{
			"another case":  func(field, member string) string { return member + `,"` + capitalize(field) + `":` + value },
			"a later field": func(_, member string) string { return member + `,"not a field":` + value },
			"a doubled one": func(field, member string) string { return `"` + field + `":` + value + `,` + member },
		} {
			text := addMembers(t, typ, message, added)
			decoded := reflect.New(typ)
			if err := c.Decode(text, decoded.Interface()); err != nil {
				t.Errorf("%s with %s: %v\nof %.2000s", name, kind, err, text)
			} else if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, want) {
				t.Errorf("%s with %s: %.2000s\ndecodes to\n     %+v\nwant %+v", name, kind, text, got, want)
			}
		}
	}
}

// capitalize returns a field's name with its first letter in upper case.
func capitalize(name string) string { return strings.ToUpper(name[:1]) + name[1:] }

// addMembers returns a message with every member of an object that is decoded into a struct replaced by what added
// returns for the field's name and the member. typ is the type that the message is decoded into.
func addMembers(t *testing.T, typ reflect.Type, message json.RawMessage, added func(field, member string) string) []byte {
	t.Helper()
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch {
	case typ == reflect.TypeFor[json.RawMessage]() || string(message) == "null":
		return message
	case typ.Kind() == reflect.Struct && message[0] == '{':
		fields := map[string]reflect.Type{}
		for _, field := range reflect.VisibleFields(typ) {
			if tag, _, _ := strings.Cut(field.Tag.Get("json"), ","); tag != "" && tag != "-" {
				fields[tag] = field.Type
			}
		}
		return joinMembers(t, message, func(name string, value json.RawMessage) string {
			field, ok := fields[name]
			if !ok {
				return fmt.Sprintf("%q:%s", name, value)
			}
			return added(name, fmt.Sprintf("%q:%s", name, addMembers(t, field, value, added)))
		})
	case typ.Kind() == reflect.Map && message[0] == '{':
		return joinMembers(t, message, func(name string, value json.RawMessage) string {
			return fmt.Sprintf("%q:%s", name, addMembers(t, typ.Elem(), value, added))
		})
	case typ.Kind() == reflect.Slice && message[0] == '[':
		var values []json.RawMessage
		if err := json.Unmarshal(message, &values); err != nil {
			t.Fatal(err)
		}
		var texts [][]byte
		for _, value := range values {
			texts = append(texts, addMembers(t, typ.Elem(), value, added))
		}
		return fmt.Appendf(nil, "[%s]", bytes.Join(texts, []byte(",")))
	}
	return message
}

// joinMembers returns an object with each member replaced by what replace returns, in the same order.
func joinMembers(t *testing.T, object json.RawMessage, replace func(name string, value json.RawMessage) string) []byte {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(object))
	if _, err := d.Token(); err != nil {
		t.Fatal(err)
	}
	var members []string
	for d.More() {
		name, err := d.Token()
		var value json.RawMessage
		if err == nil {
			err = d.Decode(&value)
		}
		if err != nil {
			t.Fatal(err)
		}
		members = append(members, replace(name.(string), value))
	}
	return []byte("{" + strings.Join(members, ",") + "}")
}
