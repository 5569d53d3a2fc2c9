package files

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// The steps of a swap, in their order.
const (
	stepCreate = iota
	stepWrite
	stepSync
	stepRename
	stepSyncFolder
)

// swapper puts files in place. Fault, if any, is asked before each step; an error ends the swap there, as a cut or a
// full disk would.
type swapper struct {
	fault func(path string, step int) error
}

// swap writes a file aside, syncs it, renames it over the one in place and syncs the folder. Whatever step fails,
// what is in place is whole: the old or the new.
func (w swapper) swap(path string, text []byte) (err error) {
	at := func(s int) error {
		if w.fault != nil {
			return w.fault(path, s)
		}
		return nil
	}
	folder := filepath.Dir(path)
	if err := at(stepCreate); err != nil {
		return err
	}
	f, err := os.CreateTemp(folder, filepath.Base(path)+asideMark+"*")
	if err != nil {
		return fmt.Errorf("writing aside: %w", err)
	}
	defer func() {
		if err != nil {
			_ = f.Close()
			if !errors.Is(err, ErrCut) { // after a cut nobody cleans up; the next start does
				_ = os.Remove(f.Name())
			}
		}
	}()
	if err := at(stepWrite); err != nil {
		_, _ = f.Write(text[:len(text)/2])
		return err
	}
	if _, err := f.Write(text); err != nil {
		return fmt.Errorf("writing aside: %w", err)
	}
	if err := at(stepSync); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("syncing: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("syncing: %w", err)
	}
	if err := at(stepRename); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return fmt.Errorf("renaming: %w", err)
	}
	if err := at(stepSyncFolder); err != nil {
		return err
	}
	d, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("syncing the folder: %w", err)
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("syncing the folder: %w", err)
	}
	return nil
}

// ErrCut stands for a kill in the middle of a swap: nothing is cleaned up after it.
var ErrCut = errors.New("cut")

// Swap is how every file of a folder is put in place, by governors and proxies alike.
func Swap(path string, text []byte) error { return swapper{}.swap(path, text) }

// tidy removes what an earlier run left aside in a folder.
func tidy(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	for _, e := range entries {
		for _, ours := range []string{TablesFile, LevelsFile} {
			if strings.HasPrefix(e.Name(), ours+asideMark) {
				err = errors.Join(err, os.Remove(filepath.Join(folder, e.Name())))
			}
		}
	}
	return err
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, sizeMost+1))
	if err != nil {
		return nil, err
	}
	if len(text) > sizeMost {
		return nil, fmt.Errorf("%s is over %d bytes", path, sizeMost)
	}
	return text, nil
}
