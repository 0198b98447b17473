package jsoncodec

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"slices"

	"github.com/go-json-experiment/json/jsontext"
)

// byteRange is a part of a text, from start up to but not including end.
type byteRange struct{ start, end int }

// objectMembers are the members of an object that have been read so far.
type objectMembers struct {
	starts []int          // offsets of the members' names
	last   map[string]int // index in starts of the last member of each name
}

// keepLastOccurrences returns a JSON text without those members of objects that are followed by a member
// of the same name in the same object. It returns false if there are none, or if the text is not JSON.
func keepLastOccurrences(data []byte) ([]byte, bool) {
	superseded, err := supersededMembers(data)
	if err != nil || len(superseded) == 0 {
		return nil, false
	}
	slices.SortFunc(superseded, func(a, b byteRange) int { return cmp.Compare(a.start, b.start) })
	unique := make([]byte, 0, len(data))
	copied := 0
	for _, r := range superseded {
		if r.start > copied {
			unique = append(unique, data[copied:r.start]...)
		}
		copied = max(copied, r.end) // ranges within another one have been skipped with it
	}
	return append(unique, data[copied:]...), true
}

// supersededMembers returns the ranges of the members that are followed by a member of the same name in
// the same object. Each range ends where the next member's name begins.
func supersededMembers(data []byte) ([]byteRange, error) {
	decoder := jsontext.NewDecoder(bytes.NewBuffer(data), jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
	var open []*objectMembers // of the objects and lists that are being read, by depth; lists have no members
	var superseded []byteRange
	for {
		container, read := decoder.StackIndex(decoder.StackDepth())
		isName := container == '{' && read%2 == 0 && decoder.PeekKind() == '"'
		if isName {
			name, err := decoder.ReadValue()
			if err != nil {
				return nil, err
			}
			members := open[len(open)-1]
			if r, found := members.add(name, int(decoder.InputOffset())-len(name)); found {
				superseded = append(superseded, r)
			}
			continue
		}
		token, err := decoder.ReadToken()
		if errors.Is(err, io.EOF) {
			return superseded, nil
		}
		if err != nil {
			return nil, err
		}
		switch token.Kind() {
		case '{', '[':
			open = append(open, &objectMembers{last: map[string]int{}})
		case '}', ']':
			open = open[:len(open)-1]
		}
	}
}

// add adds the member whose quoted name begins at an offset. If there is an earlier member of that name,
// add returns the range of the last one and true.
func (m *objectMembers) add(quotedName []byte, start int) (byteRange, bool) {
	name, _ := jsontext.AppendUnquote(nil, quotedName) // the decoder has checked the name
	m.starts = append(m.starts, start)
	earlier, found := m.last[string(name)]
	m.last[string(name)] = len(m.starts) - 1
	if !found {
		return byteRange{}, false
	}
	return byteRange{m.starts[earlier], m.starts[earlier+1]}, true
}
