package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads and validates a settings file. The options are the defaults.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return c, nil
}

// Parse decodes and validates the text of a settings file. The options are the defaults.
func Parse(raw []byte) (*Config, error) {
	c := &Config{Options: DefaultOptions()}
	if err := toml.Unmarshal(withExactKeys(raw), c); err != nil {
		return nil, decodeError(err)
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// decodeError adds the position and the key to the error of the TOML decoder, whose text lacks both.
func decodeError(err error) error {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return err
	}
	row, column := decode.Position()
	key := strings.Join(decode.Key(), ".")
	return &Error{
		Key:     key,
		Message: fmt.Sprintf("line %d, column %d: %s: %s", row, column, key, decode.Error()),
		Err:     err,
	}
}
