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

// storeCommand returns the commands that check, print and copy the store of a stopped controller.
func storeCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "store",
		Short: "Check, print, compact, back up or restore the store of a stopped controller",
		Args:  positionalArgs(cobra.NoArgs),
	}
	c.AddCommand(
		&cobra.Command{
			Use:   "check FOLDER",
			Short: "Verify the checksums of all records; exit code 1 if a record is damaged",
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
			Short: "Rewrite a store without its replaced records",
			Args:  positionalArgs(cobra.ExactArgs(1)),
			RunE:  func(c *cobra.Command, args []string) error { return compactStore(c.OutOrStdout(), args[0]) },
		},
		&cobra.Command{
			Use:   "backup FOLDER COPY",
			Short: "Copy a store to a folder that must not exist yet",
			Args:  positionalArgs(cobra.ExactArgs(2)),
			RunE:  func(_ *cobra.Command, args []string) error { return backupStore(args[0], args[1]) },
		},
		&cobra.Command{
			Use:   "restore COPY FOLDER",
			Short: "Verify a backup and copy it to a folder that must not exist yet",
			Args:  positionalArgs(cobra.ExactArgs(2)),
			RunE:  func(_ *cobra.Command, args []string) error { return restoreStore(args[0], args[1]) },
		},
	)
	return c
}

// withStore opens an existing store, calls do with it and closes it. The error of do takes precedence over that of the
// close.
func withStore(folder string, readOnly bool, do func(*store.Store) error) error {
	if !store.Exists(folder) {
		return fmt.Errorf("%s: no store in this folder", folder)
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

// readStore calls handle for each intact record, and returns the number of these and the bytes of their payloads.
// Damaged records are an error.
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
		err = fmt.Errorf("%d damaged records, first: %s", len(damage), damage[0])
	}
	return records, size, err
}

func checkStore(out io.Writer, folder string) error {
	return withStore(folder, true, func(s *store.Store) error {
		records, size, err := readStore(s, func(key string, payload []byte) error {
			if !json.Valid(payload) {
				return fmt.Errorf("record %s: payload of %d bytes is not valid JSON", key, len(payload))
			}
			return nil
		})
		if err != nil {
			return err
		}
		printf(out, "%d records, %d bytes, %d bytes on disk: no damage\n", records, size, s.Statistics().OnDisk)
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
		printf(out, "compacted from %d to %d bytes\n", before, s.Statistics().OnDisk)
		return nil
	})
}

func backupStore(folder, backup string) error {
	return withStore(folder, false, func(s *store.Store) error { return s.Backup(backup) })
}

// restoreStore copies a backup to a folder that must not exist. It copies nothing if a record is damaged.
func restoreStore(backup, folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return fmt.Errorf("%s already exists; move or remove it first", folder)
	}
	return withStore(backup, false, func(s *store.Store) error {
		_, _, err := readStore(s, func(string, []byte) error { return nil })
		if err != nil {
			return err
		}
		return s.Backup(folder)
	})
}
