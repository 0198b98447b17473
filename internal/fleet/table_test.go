package fleet

import (
	"strings"
	"testing"
	"time"

	"drumpick/internal/forecast"
)

// A machine is believed to hold the images last used, as many as its cache takes;
// one that is larger than the cache is there while it is used.
func TestImages(t *testing.T) {
	m := NewTable(5, time.Second, forecast.Params{Window: 1}).GetOrCreate("m-1", "m-1:1", "c4", "a", false)
	for _, x := range []struct {
		use  string
		gb   float64
		want string
	}{
		{"a", 4, "a"}, {"b", 4, "a b"}, {"a", 4, "b a"}, {"c", 3, "a c"}, {"c", 3, "a c"},
		{"d", 2, "a c d"}, {"huge", 11, "huge"}, {"a", 4, "a"},
	} {
		m.UseImage(x.use, x.gb, 10)
		var got []string
		for _, i := range m.images {
			got = append(got, i.name)
		}
		if s := strings.Join(got, " "); s != x.want {
			t.Errorf("after %s: %s, want %s", x.use, s, x.want)
		}
		for _, name := range []string{"a", "b", "c", "d", "huge"} {
			if has := strings.Contains(x.want, name); m.Bin.HasLabel(ImageLabel(name)) != has {
				t.Errorf("after %s: the bin's mark of %s is %v", x.use, name, !has)
			}
		}
	}
}
