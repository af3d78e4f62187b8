// Package golden helps tests to pin an encoded format: Fill gives a value in which no field is zero, and Check
// compares its encoding with a committed file.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// UpdateVariable names the environment variable that makes Check write its file instead of comparing with it.
const UpdateVariable = "UPDATE_GOLDEN"

// maxDepth bounds the nesting of types that contain themselves.
const maxDepth = 12

// Fill sets every settable field below the pointer v. Numbers and strings are distinct and follow the order of the
// fields, not their names, so a renamed field keeps its value. Slices get two elements and maps one.
// Interfaces and functions are left as they are.
func Fill(v any) {
	f := filler{}
	f.fill(reflect.ValueOf(v).Elem(), 0)
}

type filler struct{ n int64 }

func (f *filler) next() int64 {
	f.n++
	return f.n
}

var (
	timeType       = reflect.TypeFor[time.Time]()
	rawMessageType = reflect.TypeFor[json.RawMessage]()
)

func (f *filler) fill(v reflect.Value, depth int) {
	if !v.CanSet() || depth > maxDepth {
		return
	}
	switch v.Type() {
	case timeType:
		v.Set(reflect.ValueOf(time.UnixMicro(1_700_000_000_000_000 + f.next()).UTC()))
		return
	case rawMessageType:
		v.SetBytes([]byte(`{"raw":` + string('0'+rune(f.next()%9)) + `}`))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("s" + time.Duration(f.next()).String())
	case reflect.Int8:
		v.SetInt(f.next()%127 + 1)
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(f.next())
	case reflect.Uint8:
		v.SetUint(uint64(f.next()%255 + 1))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0), depth+1)
		f.fill(v.Index(1), depth+1)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		f.fillMap(v, depth)
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i), depth+1)
		}
	}
}

func (f *filler) fillMap(v reflect.Value, depth int) {
	key := reflect.New(v.Type().Key()).Elem()
	value := reflect.New(v.Type().Elem()).Elem()
	f.fill(key, depth+1)
	f.fill(value, depth+1)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

// Check fails the test if encoded differs from the committed file testdata/formats/NAME, and returns what the file
// holds, for the test to decode.
func Check(t testing.TB, name string, encoded []byte) []byte {
	t.Helper()
	file := filepath.Join("testdata", "formats", name)
	if os.Getenv(UpdateVariable) != "" {
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, want) {
		t.Errorf("the encoding of %s has changed\n got: %q\nwant: %q", file, encoded, want)
	}
	return want
}
