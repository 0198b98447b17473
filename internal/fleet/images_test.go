package fleet

import (
	"strings"
	"testing"
	"time"

	"drumpick/internal/forecast"
)

// A machine's cache keeps the most recently used images, up to its size. An image larger than the
// cache is kept while it is the most recently used one.
func TestCacheKeepsLastUsedImages(t *testing.T) {
	m := NewTable(5, time.Second, forecast.Params{Window: 1}).GetOrCreate("m-1", "m-1:1", "c4", "a", false)
	for _, test := range []struct {
		use  string
		gb   float64
		want string // the images kept, least recently used first
	}{
		{"a", 4, "a"}, {"b", 4, "a b"}, {"a", 4, "b a"}, {"c", 3, "a c"}, {"c", 3, "a c"},
		{"d", 2, "a c d"}, {"huge", 11, "huge"}, {"a", 4, "a"},
	} {
		m.UseImage(test.use, test.gb, 10)
		var got []string
		for _, i := range m.images {
			got = append(got, i.name)
		}
		if s := strings.Join(got, " "); s != test.want {
			t.Errorf("after %s: %s, want %s", test.use, s, test.want)
		}
		for _, name := range []string{"a", "b", "c", "d", "huge"} {
			if has := strings.Contains(test.want, name); m.Bin.HasLabel(ImageLabel(name)) != has {
				t.Errorf("after %s: the bin has the label of %s: %v, want %v", test.use, name, !has, has)
			}
		}
	}
}
