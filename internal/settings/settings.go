// Package settings reads the product's configuration files.
package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Load reads a TOML file over what into points to. An unknown name, or a value that can't be, is an error with its line.
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
