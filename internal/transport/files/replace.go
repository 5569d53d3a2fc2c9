package files

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// Steps of replacing a file, in order.
const (
	stepCreate = iota
	stepWrite
	stepSync
	stepRename
	stepSyncFolder
)

// ErrSimulatedCrash simulates a crash during the replacement of a file, if Options.Fault returns it: the temporary file
// is left behind.
var ErrSimulatedCrash = errors.New("simulated crash")

// replacer replaces files atomically. The fault function, nil for none, is called before each step. Its error aborts
// the replacement at that step, as a crash or a full disk would.
type replacer struct {
	fault func(path string, step int) error
}

// ReplaceFile replaces a file atomically: readers see the old content or the new, never a part of it. Controllers and
// proxies write all files of a folder with it.
func ReplaceFile(path string, text []byte) error { return replacer{}.replace(path, text) }

// replace writes a temporary file, syncs it, renames it to the path and syncs the folder. If a step fails, the file at
// the path is complete: either the old or the new one.
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
		if !errors.Is(err, ErrSimulatedCrash) { // after a crash the next start removes the temporary file
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
		_, _ = file.Write(text[:len(text)/2]) // partial content, as after a write to a full disk
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

// beforeStep returns the error of the fault function for a step, nil if there is no function.
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

// removeTemporaries removes the temporary files that an earlier process left in a folder.
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

// readFile returns the content of a file. It returns an error if the file exceeds maxFileSize.
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
