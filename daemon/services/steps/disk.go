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
	diskFile = "samples.db"
	diskMode = 0o600
	// diskFolderMode is that of the data folder when it has to be made.
	diskFolderMode = 0o700
	// lockLimit is how long to wait for an earlier process to let go of the
	// file.
	lockLimit = 5 * time.Second
	// maxDisk bounds what a daemon with a data folder holds, in bytes.
	maxDisk = 4 << 30
)

var bucketSamples = []byte("samples")

// disk keeps samples in a file of the data folder; they survive a restart.
type disk struct{ db *bbolt.DB }

// openDisk opens or makes the file. It fails with code SettingsUnread.
func openDisk(folder string) (*disk, error) {
	if err := os.MkdirAll(folder, diskFolderMode); err != nil {
		return nil, result.Wrap(result.SettingsUnread, err)
	}
	db, err := bbolt.Open(filepath.Join(folder, diskFile), diskMode, &bbolt.Options{Timeout: lockLimit})
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
	return &disk{db: db}, nil
}

// diskKey is the host's name followed by the start and the sample's number.
func diskKey(id structs.SampleID) []byte {
	key := append([]byte(id.Origin.Host), 0)
	key = binary.BigEndian.AppendUint64(key, id.Origin.Start)
	return binary.BigEndian.AppendUint64(key, id.Number)
}

// put returns once the records are on the disk. Concurrent calls share a
// transaction.
func (d *disk) put(records []record) error {
	values := make([][]byte, len(records))
	for i, r := range records {
		var value bytes.Buffer
		if err := gob.NewEncoder(&value).Encode(r); err != nil {
			return errors.Wrap(err, "sample")
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

func (d *disk) get(id structs.SampleID) (structs.Sample, bool) {
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

func (d *disk) remove(ids []structs.SampleID) error {
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

// each skips records that cannot be read: they count as lost here.
func (d *disk) each(visit func(record)) error {
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

func (d *disk) close() error { return d.db.Close() }
