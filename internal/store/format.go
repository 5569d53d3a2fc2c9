package store

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/cockroachdb/pebble/v2"
)

// Format is the version of the on-disk format that this program writes. Open migrates stores of older formats, and
// returns a NewerFormatError for newer ones without modifying them.
const Format = 2

const (
	formatFile     = "FORMAT"
	formatLine     = "cressknot store %d\n"
	maxFormatBytes = 32
)

// readFormat returns the format of a store, 0 for a new one.
func readFormat(options Options) (int, error) {
	file, err := options.FS.Open(filepath.Join(options.Directory, formatFile))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("store %s: %w", options.Directory, err)
	}
	defer func() { _ = file.Close() }()
	var text [maxFormatBytes]byte
	n, _ := file.Read(text[:]) // after an error the text does not parse
	var format int
	if _, err := fmt.Sscanf(string(text[:n]), formatLine, &format); err != nil || format < 1 {
		return 0, fmt.Errorf("store %s: invalid file %s: the directory is not a store, or the file is damaged",
			options.Directory, formatFile)
	}
	return format, nil
}

// writeFormat replaces the format file atomically.
func writeFormat(options Options) error {
	path := filepath.Join(options.Directory, formatFile)
	temporary := path + ".new"
	file, err := options.FS.Create(temporary, "format")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(file, formatLine, Format)
	err = errors.Join(err, file.Sync(), file.Close())
	if err != nil {
		return err
	}
	if err := options.FS.Rename(temporary, path); err != nil {
		return err
	}
	directory, err := options.FS.OpenDir(options.Directory)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// migrations convert a store from an earlier format to the next one, each in one commit.
var migrations = map[int]func(s *Store, batch *pebble.Batch) error{
	1: addChecksums,
}

// addChecksums migrates from format 1, whose records have no checksums.
func addChecksums(s *Store, batch *pebble.Batch) error {
	return s.forEachRaw("", func(key string, raw []byte) error {
		return batch.Set([]byte(key), encodeRecord(key, raw), nil)
	})
}

// migrate converts the store from an earlier format to the current one, or writes the format of a new store.
func (s *Store) migrate(from int) error {
	if from == 0 {
		return writeFormat(s.options)
	}
	for format := from; format < Format; format++ {
		batch := s.db.NewBatch()
		if err := migrations[format](s, batch); err != nil {
			return errors.Join(fmt.Errorf("migrate from format %d: %w", format, err), batch.Close())
		}
		if err := batch.Commit(pebble.Sync); err != nil {
			return fmt.Errorf("migrate from format %d: %w", format, err)
		}
		if err := writeFormat(s.options); err != nil {
			return err
		}
	}
	return nil
}
