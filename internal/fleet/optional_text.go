package fleet

import (
	"log/slog"
	"sync"

	"drumpick/internal/jsoncodec"

	"github.com/mailru/easyjson/jlexer"
)

// maxOptionalTextBytes is the maximum length of an OptionalText.
const maxOptionalTextBytes = 200

// OptionalText is the text of a field that this project has added to a message of the protocol. Another
// sender may use the same name for something else, so a value that is no text, or a longer one, counts as
// absent: it must not make the message invalid.
type OptionalText string

var logIgnoredField = sync.OnceFunc(func() {
	slog.Debug("optional field of a worker's status ignored", "reason", "not a text, or too long")
})

// UnmarshalJSON sets the text, or clears it if the value is none. It never returns an error.
func (t *OptionalText) UnmarshalJSON(value []byte) error {
	var text string
	if jsoncodec.Unmarshal(value, &text) != nil || len(text) > maxOptionalTextBytes {
		text = ""
		logIgnoredField()
	}
	*t = OptionalText(text)
	return nil
}

// UnmarshalEasyJSON is like UnmarshalJSON, for the generated decoders.
func (t *OptionalText) UnmarshalEasyJSON(in *jlexer.Lexer) { _ = t.UnmarshalJSON(in.Raw()) }
