package store

import (
	"errors"
	"fmt"

	"github.com/cockroachdb/pebble/v2"
)

// Corruption is a record that must not be used.
type Corruption struct{ Key, Reason string }

func (c Corruption) String() string { return c.Key + ": " + c.Reason }

// Read calls each record whose key begins with a prefix, in the order of keys, as they are on disk. Corrupt records
// are returned instead.
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

// eachRaw calls each stored value whose key begins with a prefix, in the order of keys.
func (s *Store) forEachRaw(prefix string, handle func(key string, raw []byte) error) (err error) {
	defer recoverFatal(&err)
	options := &pebble.IterOptions{}
	if prefix != "" { // to the library an empty bound is no bound
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
