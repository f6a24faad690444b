package steps

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"go.etcd.io/bbolt"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	diskFileName = "samples.db"
	diskFileMode = 0o600
	// diskFolderMode is the mode of a data folder that is created.
	diskFolderMode = 0o700
	// lockTimeout bounds the wait for an earlier process to release its lock on
	// the file.
	lockTimeout = 5 * time.Second
	// maxDiskBytes bounds the samples of a daemon with a data folder.
	maxDiskBytes = 4 << 30
)

var bucketSamples = []byte("samples")

// diskStore is the recordStore of a daemon with a data folder. It keeps records in
// a bbolt file there, which survives a restart.
type diskStore struct{ db *bbolt.DB }

// openDiskStore opens or creates the file in a folder. It fails with code
// SettingsUnread.
func openDiskStore(folder string) (*diskStore, error) {
	if err := os.MkdirAll(folder, diskFolderMode); err != nil {
		return nil, result.Wrap(result.SettingsUnread, err)
	}
	db, err := bbolt.Open(filepath.Join(folder, diskFileName), diskFileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, result.Wrap(result.SettingsUnread, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(bucketSamples)
		return err
	})
	if err != nil {
		_ = db.Close()
		return nil, result.Wrap(result.SettingsUnread, err)
	}
	return &diskStore{db: db}, nil
}

// diskKey returns the key of a sample: the name of its origin host, a zero byte,
// the start of the origin's incarnation and the sample's number.
func diskKey(id structs.SampleID) []byte {
	key := append([]byte(id.Origin.Host), 0)
	key = binary.BigEndian.AppendUint64(key, id.Origin.Start)
	return binary.BigEndian.AppendUint64(key, id.Number)
}

// put implements recordStore. It returns when the records are on disk.
// Concurrent calls share a transaction.
func (d *diskStore) put(records []record) error {
	values := make([][]byte, len(records))
	for i, r := range records {
		var value bytes.Buffer
		if err := gob.NewEncoder(&value).Encode(r); err != nil {
			return errors.Wrap(err, "encode sample")
		}
		values[i] = value.Bytes()
	}
	return d.db.Batch(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketSamples)
		for i, r := range records {
			if err := bucket.Put(diskKey(r.Sample.ID), values[i]); err != nil {
				return err
			}
		}
		return nil
	})
}

func (d *diskStore) get(id structs.SampleID) (structs.Sample, bool) {
	var r record
	found := false
	err := d.db.View(func(tx *bbolt.Tx) error {
		value := tx.Bucket(bucketSamples).Get(diskKey(id))
		if value == nil {
			return nil
		}
		found = true
		return decodeRecord(value, &r)
	})
	return r.Sample, found && err == nil
}

func decodeRecord(value []byte, into *record) error {
	return gob.NewDecoder(bytes.NewReader(value)).Decode(into)
}

func (d *diskStore) remove(ids []structs.SampleID) error {
	if len(ids) == 0 {
		return nil
	}
	return d.db.Batch(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketSamples)
		for _, id := range ids {
			if err := bucket.Delete(diskKey(id)); err != nil {
				return err
			}
		}
		return nil
	})
}

// forEach implements recordStore. It skips records that can't be decoded; they
// are treated as lost on this host.
func (d *diskStore) forEach(visit func(record)) error {
	return d.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketSamples).ForEach(func(_, value []byte) error {
			var r record
			if decodeRecord(value, &r) == nil {
				visit(r)
			}
			return nil
		})
	})
}

func (d *diskStore) close() error { return d.db.Close() }
