package config

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

const validSettings = `host: ashanti-1
place: {zone: ashanti-a, region: ashanti}
listen: {callers: "127.0.0.1:8101", peers: "127.0.0.1:8201"}
store: "127.0.0.1:8001"
`

func TestParse_Defaults(t *testing.T) {
	daemon, err := Parse([]byte(validSettings))
	must.NoError(t, err)
	must.Eq(t, Default().Limits, daemon.Limits)
	must.Eq(t, "ashanti-1", daemon.Host)
}

func TestParse_ErrorCodeAndPosition(t *testing.T) {
	for name, c := range map[string]struct {
		added    string
		code     result.Code
		wantText string
	}{
		"unknown field":    {"colour: red\n", result.SettingsMalformed, "[5:1]"},
		"not YAML":         {"log: [\n", result.SettingsMalformed, "[5:"},
		"unknown level":    {"log: {level: loud}\n", result.SettingsInvalid, "Level"},
		"body too large":   {"limits: {max_body: 99999999999}\n", result.SettingsInvalid, "MaxBody"},
		"key without cert": {"trust: {key: a.pem}\n", result.SettingsInvalid, "Certificate"},
		"short hash":       {"trust: {tokens: [{role: operator, sha256: abc}]}\n", result.SettingsInvalid, "SHA256"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(validSettings + c.added))
			must.Eq(t, c.code, result.CodeOf(err))
			must.StrContains(t, err.Error(), c.wantText)
		})
	}
	_, err := Parse([]byte("host: a\nplace: {zone: z, region: r}\nlisten: {callers: \"example:80\", peers: \"127.0.0.1:1\"}\nstore: \"127.0.0.1:2\"\n"))
	must.Eq(t, result.SettingsInvalid, result.CodeOf(err))
	_, err = Read(filepath.Join(t.TempDir(), "absent.yaml"))
	must.Eq(t, result.SettingsUnread, result.CodeOf(err))
}

func TestParseDocument_Examples(t *testing.T) {
	for _, example := range []string{"akuaba", "consultora"} {
		source, err := os.ReadFile(filepath.Join("..", "..", "examples", example, "document.yaml"))
		must.NoError(t, err)
		_, err = ParseDocument(source)
		must.NoError(t, err)
	}
	_, err := ParseDocument([]byte("zones: []\ntemplates: []\nworkspaces: []\n"))
	must.Eq(t, result.SettingsInvalid, result.CodeOf(err))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("host: [1, 2"))
	f.Fuzz(func(t *testing.T, source []byte) {
		daemon, err := Parse(source)
		if err == nil && daemon.Host == "" {
			t.Fatal("accepted settings without a host name")
		}
	})
}
