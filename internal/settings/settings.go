// Package settings reads configuration files.
package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Load decodes a TOML file into the value that into points to; settings that the file leaves out keep their
// values. An unknown name or an invalid value is an error with its line.
func Load(path string, into any) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	err = toml.NewDecoder(f).DisallowUnknownFields().Decode(into)
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		row, _ := strict.Errors[0].Position()
		return fmt.Errorf("%s: line %d: there is no setting %v", path, row, strict.Errors[0].Key())
	case errors.As(err, &decode):
		row, _ := decode.Position()
		return fmt.Errorf("%s: line %d: %w", path, row, err)
	}
	return fmt.Errorf("%s: %w", path, err)
}
