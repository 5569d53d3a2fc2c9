package discovery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"

	"cressknot/internal/fleet"
)

const (
	// previousSuffix is appended to the path of the cache for the file of the previous generation.
	previousSuffix = ".before"

	// cacheFormat is the version of the file format.
	cacheFormat = 1

	// maxCacheHeaderSize is in bytes.
	maxCacheHeaderSize = 1 << 16
)

// cacheHeader is the first line of a cache file. Every further line is a cacheEntry.
type cacheHeader struct {
	Format      int       `json:"cressknotList"`
	Revision    uint64    `json:"rev"`
	ConfirmedAt time.Time `json:"at"` // when the source last confirmed the list
	Entries     int       `json:"entries"`
	Checksum    string    `json:"sum"` // of all entry lines together
}

// cacheEntry is one endpoint and the checksum of its JSON text.
type cacheEntry struct {
	Checksum string          `json:"sum"`
	Endpoint json.RawMessage `json:"server"`
}

// checksum returns the 64-bit xxHash of the text as 16 hexadecimal digits.
func checksum(text []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(text)) }

// WriteCache stores a complete list and the time when its source last confirmed it. Each entry and the list as a whole
// have a checksum. If the list differs from the stored one, the stored one becomes the previous generation. The write
// is atomic: a crash leaves the older list intact.
func WriteCache(path string, list EndpointList, confirmedAt fleet.Time) error {
	entries, err := encodeEntries(list.Endpoints)
	if err != nil {
		return fmt.Errorf("endpoint list cache: %w", err)
	}
	header := cacheHeader{
		Format:      cacheFormat,
		Revision:    list.Revision,
		ConfirmedAt: time.Unix(0, int64(confirmedAt)).UTC(),
		Entries:     len(list.Endpoints),
		Checksum:    checksum(entries),
	}
	first, err := json.Marshal(header)
	if err != nil {
		return fmt.Errorf("endpoint list cache: %w", err)
	}
	content := append(append(first, '\n'), entries...)
	if err := replaceCache(path, content, header.Checksum); err != nil {
		return fmt.Errorf("endpoint list cache: %w", err)
	}
	return nil
}

// encodeEntries returns one cacheEntry line for each endpoint.
func encodeEntries(endpoints []Endpoint) ([]byte, error) {
	var lines bytes.Buffer
	for _, endpoint := range endpoints {
		text, err := json.Marshal(endpoint)
		if err != nil {
			return nil, err
		}
		line, err := json.Marshal(cacheEntry{Checksum: checksum(text), Endpoint: text})
		if err != nil {
			return nil, err
		}
		lines.Write(append(line, '\n'))
	}
	return lines.Bytes(), nil
}

// replaceCache writes the content to a temporary file and renames it to path. The stored list becomes the previous
// generation unless it has the same checksum.
func replaceCache(path string, content []byte, checksum string) error {
	temporary, err := writeTemporary(path, content)
	if err == nil && readHeader(path).Checksum != checksum {
		err = os.Rename(path, path+previousSuffix)
		if errors.Is(err, os.ErrNotExist) {
			err = nil
		}
	}
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil && temporary != "" {
		_ = os.Remove(temporary)
	}
	return err
}

// writeTemporary writes and syncs a file in the directory of path. The name is empty if the file was not created.
func writeTemporary(path string, content []byte) (name string, err error) {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return "", err
	}
	_, err = file.Write(content)
	return file.Name(), errors.Join(err, file.Sync(), file.Close())
}

// readHeader returns the header of a cache file, or the zero header if the file has no readable header.
func readHeader(path string) cacheHeader {
	file, err := os.Open(path)
	if err != nil {
		return cacheHeader{}
	}
	defer func() { _ = file.Close() }()
	line, err := bufio.NewReaderSize(file, maxCacheHeaderSize).ReadSlice('\n')
	if err != nil {
		return cacheHeader{}
	}
	var header cacheHeader
	if err := json.Unmarshal(line, &header); err != nil {
		return cacheHeader{}
	}
	return header
}
