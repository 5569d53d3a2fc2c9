package files

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// The steps of replacing a file, in their order.
const (
	stepCreate = iota
	stepWrite
	stepSync
	stepRename
	stepSyncFolder
)

// ErrCut simulates a crash in the middle of replacing a file: nothing is cleaned up after it.
var ErrCut = errors.New("simulated crash")

// replacer replaces files atomically. The fault function, nil for none, is called before each step; an error ends the
// replacement there, as a crash or a full disk would.
type replacer struct {
	fault func(path string, step int) error
}

// ReplaceFile is how every file of a folder is written, by controllers and proxies alike: a reader sees the old
// content or the new, never a part.
func ReplaceFile(path string, text []byte) error { return replacer{}.replace(path, text) }

// replace writes a temporary file, syncs it, renames it over the present one and syncs the folder. Whatever step
// fails, the file in place is complete: the old or the new.
func (r replacer) replace(path string, text []byte) error {
	if err := r.beforeStep(path, stepCreate); err != nil {
		return err
	}
	folder := filepath.Dir(path)
	file, err := os.CreateTemp(folder, filepath.Base(path)+temporaryMark+"*")
	if err != nil {
		return fmt.Errorf("create temporary file: %w", err)
	}
	if err := r.writeAndRename(file, path, text); err != nil {
		_ = file.Close()
		if !errors.Is(err, ErrCut) { // what a crash leaves is removed at the next start
			_ = os.Remove(file.Name())
		}
		return err
	}
	if err := r.beforeStep(path, stepSyncFolder); err != nil {
		return err
	}
	return syncFolder(folder)
}

// writeAndRename writes and syncs the temporary file and renames it to the path.
func (r replacer) writeAndRename(file *os.File, path string, text []byte) error {
	if err := r.beforeStep(path, stepWrite); err != nil {
		_, _ = file.Write(text[:len(text)/2]) // a part, as a full disk leaves it
		return err
	}
	if _, err := file.Write(text); err != nil {
		return fmt.Errorf("write temporary file: %w", err)
	}
	if err := r.beforeStep(path, stepSync); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync temporary file: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close temporary file: %w", err)
	}
	if err := r.beforeStep(path, stepRename); err != nil {
		return err
	}
	if err := os.Rename(file.Name(), path); err != nil {
		return fmt.Errorf("rename temporary file: %w", err)
	}
	return nil
}

// beforeStep asks the fault function before a step.
func (r replacer) beforeStep(path string, step int) error {
	if r.fault == nil {
		return nil
	}
	return r.fault(path, step)
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open folder to sync: %w", err)
	}
	defer func() { _ = folder.Close() }()
	if err := folder.Sync(); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}

// removeTemporaries removes temporary files that an earlier run left in a folder.
func removeTemporaries(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		for _, name := range []string{TablesFile, AdmissionFile} {
			if strings.HasPrefix(entry.Name(), name+temporaryMark) {
				err = errors.Join(err, os.Remove(filepath.Join(folder, entry.Name())))
			}
		}
	}
	return err
}

// readFile reads a file of at most maxFileSize.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxFileSize+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxFileSize {
		return nil, fmt.Errorf("%s exceeds %d bytes", path, maxFileSize)
	}
	return text, nil
}
