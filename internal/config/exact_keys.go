package config

import (
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// withExactKeys returns a settings text without keys that differ from a known key in case only. The TOML
// decoder would assign their values to the known keys; they are keys that are not known, and ignored. A text
// without such keys, or that is not TOML, is returned as it is.
func withExactKeys(raw []byte) []byte {
	var table map[string]any
	if toml.Unmarshal(raw, &table) != nil || !removeInexactKeys(table, reflect.TypeFor[Config]()) {
		return raw
	}
	exact, err := toml.Marshal(table)
	if err != nil {
		return raw
	}
	return exact
}

// removeInexactKeys removes the keys of a table, and of the tables in it, that differ in case only from the
// key of a field of a struct type. It reports whether it removed any.
func removeInexactKeys(table map[string]any, typ reflect.Type) (removed bool) {
	fields := map[string]reflect.Type{}
	for _, field := range reflect.VisibleFields(typ) {
		if key, _, _ := strings.Cut(field.Tag.Get("toml"), ","); key != "" && key != "-" {
			fields[key] = field.Type
		}
	}
	for key, value := range table {
		if field, ok := fields[key]; ok {
			removed = removeInexactKeysIn(value, field) || removed
			continue
		}
		for known := range fields {
			if strings.EqualFold(key, known) {
				delete(table, key)
				removed = true
			}
		}
	}
	return removed
}

// removeInexactKeysIn is like removeInexactKeys for a value that is decoded into a type: a table, or a list
// of tables.
func removeInexactKeysIn(value any, typ reflect.Type) (removed bool) {
	switch typ.Kind() {
	case reflect.Struct:
		if table, ok := value.(map[string]any); ok {
			return removeInexactKeys(table, typ)
		}
	case reflect.Slice:
		list, _ := value.([]any)
		for _, element := range list {
			removed = removeInexactKeysIn(element, typ.Elem()) || removed
		}
	}
	return removed
}
