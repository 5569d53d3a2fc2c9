package store

import (
	"errors"
	"fmt"

	"github.com/cockroachdb/pebble/v2"
)

// Corruption describes a record that is damaged and must not be used.
type Corruption struct{ Key, Reason string }

func (c Corruption) String() string { return c.Key + ": " + c.Reason }

// Read calls handle for each record on disk whose key has the given prefix, in the order of keys; an empty prefix
// selects all records. Pending changes are not included. Corrupt records are returned and not passed to handle. Read
// stops at the first error of handle. The payload is valid only during the call.
func (s *Store) Read(
	prefix string, handle func(key string, payload []byte) error,
) (corruptions []Corruption, err error) {
	err = s.forEachRaw(prefix, func(key string, raw []byte) error {
		payload, valid := decodeRecord(key, raw)
		if !valid {
			corruptions = append(corruptions, Corruption{key, "checksum mismatch"})
			return nil
		}
		return handle(key, payload)
	})
	if err != nil {
		err = fmt.Errorf("store %s: %w", s.options.Directory, err)
	}
	return corruptions, err
}

// forEachRaw calls handle for each stored value whose key has the given prefix, in the order of keys.
func (s *Store) forEachRaw(prefix string, handle func(key string, raw []byte) error) (err error) {
	defer recoverFatal(&err)
	options := &pebble.IterOptions{}
	if prefix != "" { // without a prefix the iterator stays unbounded
		options.LowerBound = []byte(prefix)
		options.UpperBound = []byte(prefix + "\xff")
	}
	iterator, err := s.db.NewIter(options)
	if err != nil {
		return err
	}
	for valid := iterator.First(); valid; valid = iterator.Next() {
		raw, err := iterator.ValueAndErr()
		if err == nil {
			err = handle(string(iterator.Key()), raw)
		}
		if err != nil {
			return errors.Join(err, iterator.Close())
		}
	}
	return errors.Join(iterator.Error(), iterator.Close())
}
