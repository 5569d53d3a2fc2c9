package discovery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"

	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
)

const (
	older    = ".before" // after a cache's name: the generation before
	lineMost = 1 << 16   // bytes of an entry
)

// head is the first line of a cache, written with it whole; each line after it is an entry.
type head struct {
	Kept    int       `json:"cressknotList"` // form of the file
	Rev     uint64    `json:"rev"`
	At      time.Time `json:"at"` // when the source confirmed it last
	Entries int       `json:"entries"`
	Sum     string    `json:"sum"` // of all entries' lines
}

const form = 1

type cached struct {
	Sum    string          `json:"sum"`
	Server json.RawMessage `json:"server"`
}

func sum(text []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(text)) }

// WriteCache keeps a whole list with the time of its last word, each entry and the whole with a checksum, the generation before
// beside it: written aside, synced and renamed, so that a cut leaves the older one.
func WriteCache(path string, d EndpointList, at fleet.Time) error {
	var lines bytes.Buffer
	for _, s := range d.Endpoints {
		text, err := json.Marshal(s)
		if err != nil {
			return fmt.Errorf("list cache: %w", err)
		}
		line, err := json.Marshal(cached{sum(text), text})
		if err != nil {
			return fmt.Errorf("list cache: %w", err)
		}
		lines.Write(append(line, '\n'))
	}
	h := head{Kept: form, Rev: d.Revision, At: time.Unix(0, int64(at)).UTC(), Entries: len(d.Endpoints), Sum: sum(lines.Bytes())}
	first, err := json.Marshal(h)
	if err != nil {
		return fmt.Errorf("list cache: %w", err)
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return fmt.Errorf("list cache: %w", err)
	}
	_, err = f.Write(append(append(first, '\n'), lines.Bytes()...))
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil && headOf(path).Sum != h.Sum { // another list: the one that stood is the generation before now
		if moved := os.Rename(path, path+older); !errors.Is(moved, os.ErrNotExist) {
			err = moved
		}
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("list cache: %w", err)
	}
	return nil
}

func headOf(path string) (h head) {
	f, err := os.Open(path)
	if err != nil {
		return h
	}
	defer f.Close()
	line, err := bufio.NewReaderSize(f, lineMost).ReadSlice('\n')
	if err != nil || json.Unmarshal(line, &h) != nil {
		return head{}
	}
	return h
}

// ReadCache reads the generations that Cache kept, as far as they can be believed, for a start without the list's source. Errors name
// file and line; what else is there is given all the same.
func ReadCache(path string) (kept []verification.Generation[Endpoint], wrong []error) {
	for _, p := range []string{path, path + older} {
		g, errs := readGeneration(p)
		if wrong = append(wrong, errs...); g.DeclaredSize > 0 || g.Revision > 0 {
			kept = append(kept, g)
		}
	}
	return kept, wrong
}

func readGeneration(path string) (g verification.Generation[Endpoint], wrong []error) {
	g.Source = path
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return g, nil
	}
	if err != nil {
		return g, []error{fmt.Errorf("list cache: %w", err)}
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, 2*sizeMost+1))
	if err == nil && len(text) > 2*sizeMost {
		err = fmt.Errorf("%s is over %d bytes", path, 2*sizeMost)
	}
	if err != nil {
		return g, []error{fmt.Errorf("list cache: %w", err)}
	}
	first, rest, _ := bytes.Cut(text, []byte{'\n'})
	var h head
	if err := json.Unmarshal(first, &h); err != nil || h.Kept != form {
		d, old := Decode(text) // as earlier versions kept it: without sums, and of a time that only the file tells
		info, stat := f.Stat()
		if old != nil || stat != nil {
			return g, []error{fmt.Errorf("list cache: %s:1: no head of a kept list (form %d)", path, form)}
		}
		g.Revision, g.ConfirmedAt, g.DeclaredSize, g.Complete, g.Entries = d.Revision, fleet.Time(info.ModTime().UnixNano()), len(d.Endpoints), true, map[string]Endpoint{}
		for _, s := range d.Endpoints {
			g.Entries[s.Name] = s
		}
		return g, nil
	}
	g.Revision, g.ConfirmedAt, g.DeclaredSize, g.Complete, g.Entries = h.Rev, fleet.Time(h.At.UnixNano()), min(h.Entries, serversMost), sum(rest) == h.Sum, map[string]Endpoint{}
	for n, line := range bytes.Split(bytes.TrimSuffix(rest, []byte{'\n'}), []byte{'\n'}) {
		var c cached
		var s Endpoint
		switch {
		case len(line) == 0:
		case json.Unmarshal(line, &c) != nil || sum(c.Server) != c.Sum || json.Unmarshal(c.Server, &s) != nil || check(s) != "":
			wrong = append(wrong, fmt.Errorf("list cache: %s:%d: an entry that can't be believed", path, n+2))
		case len(g.Entries) < serversMost:
			g.Entries[s.Name] = s
		}
	}
	return g, wrong
}
