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

// fieldPaths lists the YAML paths of a struct's leaves.
func fieldPaths(kind reflect.Type, prefix string) []string {
	var paths []string
	for i := range kind.NumField() {
		field := kind.Field(i)
		name := strings.Split(field.Tag.Get("yaml"), ",")[0]
		if name == "-" {
			// It has no place in the file, and a strict decoder refuses it there.
			continue
		}
		path := prefix + name
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner, path = inner.Elem(), path+"[]"
		}
		if inner.Kind() == reflect.Struct && inner.PkgPath() != "time" {
			paths = append(paths, fieldPaths(inner, path+".")...)
			continue
		}
		paths = append(paths, path)
	}
	return paths
}

// TestPage_NamesEveryField fails when a field is missing in docs/SETTINGS.md.
func TestPage_NamesEveryField(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "SETTINGS.md"))
	must.NoError(t, err)
	paths := fieldPaths(reflect.TypeFor[Daemon](), "")
	paths = append(paths, fieldPaths(reflect.TypeFor[settings.Parameters](), "")...)
	must.SliceNotEmpty(t, paths)
	for _, path := range paths {
		must.StrContains(t, string(page), "| `"+path+"` |")
	}
}
