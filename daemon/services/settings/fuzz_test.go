package settings

import (
	"encoding/json"
	"io"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const smallDocument = `{"zones":[{"zone":"a-a","region":"a"}],"templates":[{"name":"plain","parameters":{}}],` +
	`"workspaces":[{"name":"audit","template":"plain","parameters":{}}]}`

const setShare = `{"id":"1","edits":[{"kind":"set-workspace","workspace":"audit","set":{"share":2}}]}`

// FuzzHead checks that every operation on a valid head yields a valid head,
// and that every document replayed from a head is valid.
func FuzzHead(f *testing.F) {
	f.Add([]byte(`{"revision":1,"base":1}`))
	f.Add([]byte(`{"revision":2,"base":1,"accepted":[{"revision":2,"changes":[` + setShare + `]}],"round":2,"staged":[` + setShare + `]}`))
	f.Add([]byte(`{"revision":9,"base":1}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		head, err := decodeHead(value)
		if err != nil {
			return
		}
		document := &settings.Document{}
		must.NoError(t, json.Unmarshal([]byte(smallDocument), document))
		for _, revision := range []settings.Revision{0, head.Base, head.Revision} {
			rounds, ok := head.RoundsSince(revision)
			if !ok {
				continue
			}
			if replayed, err := change.Replay(document, rounds); err == nil {
				must.NoError(t, replayed.Validate())
			}
		}
		activated, withdrawn := head.Activate(), head.Withdraw(head.MissingZones(document, nil))
		for _, next := range []change.State{activated, withdrawn, head.SetSuspended("a-a", true)} {
			encoded, err := json.Marshal(next)
			must.NoError(t, err)
			_, err = decodeHead(encoded)
			must.NoError(t, err)
		}
	})
}

// FuzzCarry checks that ApplyDelta puts only valid documents in force and
// never lowers the revision or the round.
func FuzzCarry(f *testing.F) {
	f.Add([]byte(`{"whole":` + smallDocument + `,"since":4,"accepted":[{"revision":5,"changes":[` + setShare + `]}],"round":3}`))
	f.Add([]byte(`{"whole":{"zones":[]},"since":4}`))
	f.Add([]byte(`{"staged":[` + setShare + `],"round":9,"since":2}`))
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(t *testing.T, value []byte) {
		var delta contract.SettingsDelta
		if json.Unmarshal(value, &delta) != nil {
			return
		}
		known := &settings.Document{}
		must.NoError(t, json.Unmarshal([]byte(smallDocument), known))
		for _, s := range []*service{{}, {document: known, revision: 2, round: 1}} {
			s.log, s.view, s.onGrantStateChange = logrus.NewEntry(log), kernel.NewSnapshot(&contract.SettingsView{}), func() {}
			before, round := s.revision, s.round
			if s.ApplyDelta(delta) != nil {
				must.Eq(t, before, s.revision)
				continue
			}
			must.True(t, s.revision >= before && s.round >= round)
			if s.document != nil {
				must.NoError(t, s.document.Validate())
			}
		}
	})
}
