package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/settings"
)

// fieldPaths returns the YAML paths of the leaf fields of a struct.
func fieldPaths(structType reflect.Type, prefix string) []string {
	var paths []string
	for i := range structType.NumField() {
		field := structType.Field(i)
		name := strings.Split(field.Tag.Get("yaml"), ",")[0]
		if name == "-" {
			// The field is not part of the file: strict decoding rejects it there.
			continue
		}
		path := prefix + name
		fieldType := field.Type
		if fieldType.Kind() == reflect.Slice {
			fieldType, path = fieldType.Elem(), path+"[]"
		}
		if fieldType.Kind() == reflect.Struct && fieldType.PkgPath() != "time" {
			paths = append(paths, fieldPaths(fieldType, path+".")...)
			continue
		}
		paths = append(paths, path)
	}
	return paths
}

// TestPage_ListsEveryField fails when docs/SETTINGS.md lacks a field.
func TestPage_ListsEveryField(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "SETTINGS.md"))
	must.NoError(t, err)
	paths := fieldPaths(reflect.TypeFor[Daemon](), "")
	paths = append(paths, fieldPaths(reflect.TypeFor[settings.Parameters](), "")...)
	must.SliceNotEmpty(t, paths)
	for _, path := range paths {
		must.StrContains(t, string(page), "| `"+path+"` |")
	}
}
