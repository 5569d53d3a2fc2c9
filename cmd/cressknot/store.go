package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"cressknot/internal/store"
)

// storeCommand looks at the store of a governor that is stopped, or copies it.
func storeCommand() *cobra.Command {
	c := &cobra.Command{Use: "store", Short: "Check, print, compact, back up or restore what a governor keeps", Args: args(cobra.NoArgs)}
	with := func(folder string, readOnly bool, do func(*store.Store) error) error {
		if !store.Exists(folder) {
			return fmt.Errorf("%s holds no store", folder)
		}
		s, err := store.Open(store.Options{Directory: folder, ReadOnly: readOnly})
		if err != nil {
			return err
		}
		err = do(s)
		if closed := s.Close(); err == nil {
			err = closed
		}
		return err
	}
	read := func(s *store.Store, each func(key string, payload []byte) error) (records, size int, err error) {
		damage, err := s.Read("", func(key string, payload []byte) error {
			records, size = records+1, size+len(payload)
			return each(key, payload)
		})
		if err == nil && len(damage) > 0 {
			err = fmt.Errorf("%d damaged records, the first is %s", len(damage), damage[0])
		}
		return records, size, err
	}
	c.AddCommand(
		&cobra.Command{Use: "check FOLDER", Short: "Read all records and their checksums; exit code 1 if any can't be believed", Args: args(cobra.ExactArgs(1)),
			RunE: func(c *cobra.Command, a []string) error {
				return with(a[0], true, func(s *store.Store) error {
					n, size, err := read(s, func(key string, payload []byte) error {
						if !json.Valid(payload) {
							return fmt.Errorf("record %s can't be read", key)
						}
						return nil
					})
					if err == nil {
						printf(c.OutOrStdout(), "%d records, %d bytes, %d bytes on disk: all whole\n", n, size, s.Statistics().OnDisk)
					}
					return err
				})
			}},
		&cobra.Command{Use: "dump FOLDER", Short: "Print all records as JSON lines", Args: args(cobra.ExactArgs(1)),
			RunE: func(c *cobra.Command, a []string) error {
				return with(a[0], true, func(s *store.Store) error {
					_, _, err := read(s, func(key string, payload []byte) error {
						var flat bytes.Buffer
						if err := json.Compact(&flat, payload); err != nil {
							return fmt.Errorf("record %s: %w", key, err)
						}
						_, err := fmt.Fprintf(c.OutOrStdout(), "{\"key\":%q,\"value\":%s}\n", key, flat.Bytes())
						return err
					})
					return err
				})
			}},
		&cobra.Command{Use: "compact FOLDER", Short: "Rewrite a store without what was replaced", Args: args(cobra.ExactArgs(1)),
			RunE: func(c *cobra.Command, a []string) error {
				return with(a[0], false, func(s *store.Store) error {
					before := s.Statistics().OnDisk
					if err := s.Compact(); err != nil {
						return err
					}
					printf(c.OutOrStdout(), "%d bytes were %d\n", s.Statistics().OnDisk, before)
					return nil
				})
			}},
		&cobra.Command{Use: "backup FOLDER COPY", Short: "Copy a store to a folder that isn't there yet", Args: args(cobra.ExactArgs(2)),
			RunE: func(_ *cobra.Command, a []string) error {
				return with(a[0], false, func(s *store.Store) error { return s.Backup(a[1]) })
			}},
		&cobra.Command{Use: "restore COPY FOLDER", Short: "Check a copy and put it where a governor finds it; the folder must not be there", Args: args(cobra.ExactArgs(2)),
			RunE: func(c *cobra.Command, a []string) error {
				if _, err := os.Stat(a[1]); err == nil {
					return fmt.Errorf("%s is there already; move it away first", a[1])
				}
				return with(a[0], false, func(s *store.Store) error {
					if _, _, err := read(s, func(string, []byte) error { return nil }); err != nil {
						return err
					}
					return s.Backup(a[1])
				})
			}})
	return c
}
