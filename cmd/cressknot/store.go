package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"cressknot/internal/store"
)

// storeCommand examines or copies the store of a controller that is stopped.
func storeCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "store",
		Short: "Check, print, compact, back up or restore what a governor keeps",
		Args:  positionalArgs(cobra.NoArgs),
	}
	c.AddCommand(
		&cobra.Command{
			Use:   "check FOLDER",
			Short: "Read all records and their checksums; exit code 1 if any can't be believed",
			Args:  positionalArgs(cobra.ExactArgs(1)),
			RunE:  func(c *cobra.Command, args []string) error { return checkStore(c.OutOrStdout(), args[0]) },
		},
		&cobra.Command{
			Use:   "dump FOLDER",
			Short: "Print all records as JSON lines",
			Args:  positionalArgs(cobra.ExactArgs(1)),
			RunE:  func(c *cobra.Command, args []string) error { return dumpStore(c.OutOrStdout(), args[0]) },
		},
		&cobra.Command{
			Use:   "compact FOLDER",
			Short: "Rewrite a store without what was replaced",
			Args:  positionalArgs(cobra.ExactArgs(1)),
			RunE:  func(c *cobra.Command, args []string) error { return compactStore(c.OutOrStdout(), args[0]) },
		},
		&cobra.Command{
			Use:   "backup FOLDER COPY",
			Short: "Copy a store to a folder that isn't there yet",
			Args:  positionalArgs(cobra.ExactArgs(2)),
			RunE:  func(_ *cobra.Command, args []string) error { return backupStore(args[0], args[1]) },
		},
		&cobra.Command{
			Use:   "restore COPY FOLDER",
			Short: "Check a copy and put it where a governor finds it; the folder must not be there",
			Args:  positionalArgs(cobra.ExactArgs(2)),
			RunE:  func(_ *cobra.Command, args []string) error { return restoreStore(args[0], args[1]) },
		},
	)
	return c
}

// withStore opens a store for one function and closes it again.
func withStore(folder string, readOnly bool, do func(*store.Store) error) error {
	if !store.Exists(folder) {
		return fmt.Errorf("%s holds no store", folder)
	}
	opened, err := store.Open(store.Options{Directory: folder, ReadOnly: readOnly})
	if err != nil {
		return err
	}
	err = do(opened)
	if closeErr := opened.Close(); err == nil {
		err = closeErr
	}
	return err
}

// readStore reads all records and fails if some are damaged.
func readStore(
	s *store.Store,
	handle func(key string, payload []byte) error,
) (records, size int, err error) {
	damage, err := s.Read("", func(key string, payload []byte) error {
		records++
		size += len(payload)
		return handle(key, payload)
	})
	if err == nil && len(damage) > 0 {
		err = fmt.Errorf("%d damaged records, the first is %s", len(damage), damage[0])
	}
	return records, size, err
}

func checkStore(out io.Writer, folder string) error {
	return withStore(folder, true, func(s *store.Store) error {
		records, size, err := readStore(s, func(key string, payload []byte) error {
			if !json.Valid(payload) {
				return fmt.Errorf("record %s can't be read", key)
			}
			return nil
		})
		if err != nil {
			return err
		}
		printf(out, "%d records, %d bytes, %d bytes on disk: all whole\n", records, size, s.Statistics().OnDisk)
		return nil
	})
}

func dumpStore(out io.Writer, folder string) error {
	return withStore(folder, true, func(s *store.Store) error {
		_, _, err := readStore(s, func(key string, payload []byte) error {
			var compact bytes.Buffer
			if err := json.Compact(&compact, payload); err != nil {
				return fmt.Errorf("record %s: %w", key, err)
			}
			_, err := fmt.Fprintf(out, "{\"key\":%q,\"value\":%s}\n", key, compact.Bytes())
			return err
		})
		return err
	})
}

func compactStore(out io.Writer, folder string) error {
	return withStore(folder, false, func(s *store.Store) error {
		before := s.Statistics().OnDisk
		if err := s.Compact(); err != nil {
			return err
		}
		printf(out, "%d bytes were %d\n", s.Statistics().OnDisk, before)
		return nil
	})
}

func backupStore(folder, copied string) error {
	return withStore(folder, false, func(s *store.Store) error { return s.Backup(copied) })
}

// restoreStore copies a store to a folder that must not exist, if no record is damaged.
func restoreStore(copied, folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return fmt.Errorf("%s is there already; move it away first", folder)
	}
	return withStore(copied, false, func(s *store.Store) error {
		_, _, err := readStore(s, func(string, []byte) error { return nil })
		if err != nil {
			return err
		}
		return s.Backup(folder)
	})
}
