package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
)

// maxCacheSize is in bytes. It leaves room for the checksums.
const maxCacheSize = 2 * maxListSize

// errCorruptEntry reports an entry that can't be decoded, fails its checksum or is invalid.
var errCorruptEntry = errors.New("corrupt entry, ignored")

// ReadCache reads the intact entries of the generations that WriteCache stored at path, for a start while the endpoint
// source is unavailable. Errors state the file and the line; the readable entries are returned in any case.
func ReadCache(path string) (generations []verification.Generation[Endpoint], errs []error) {
	for _, name := range []string{path, path + previousSuffix} {
		generation, generationErrs := readGeneration(name)
		errs = append(errs, generationErrs...)
		if generation.DeclaredSize > 0 || generation.Revision > 0 {
			generations = append(generations, generation)
		}
	}
	return generations, errs
}

// readGeneration reads one file. For a file that doesn't exist it returns an empty generation and no error.
func readGeneration(path string) (verification.Generation[Endpoint], []error) {
	empty := verification.Generation[Endpoint]{Source: path}
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return empty, nil
	}
	if err != nil {
		return empty, []error{fmt.Errorf("endpoint list cache: %w", err)}
	}
	defer func() { _ = file.Close() }()
	text, err := readAll(file, maxCacheSize)
	if err != nil {
		return empty, []error{fmt.Errorf("endpoint list cache: %s: %w", path, err)}
	}
	first, entries, _ := bytes.Cut(text, []byte{'\n'})
	var header cacheHeader
	if err := json.Unmarshal(first, &header); err == nil && header.Format == cacheFormat {
		return readEntries(path, header, entries)
	}
	info, statErr := file.Stat()
	list, err := decodeList(text)
	if err != nil || statErr != nil {
		return empty, []error{fmt.Errorf("endpoint list cache: %s:1: no cache header of format %d", path, cacheFormat)}
	}
	return plainGeneration(path, list, info), nil
}

// plainGeneration returns a list that a version before the cache format stored. It has no checksums, and the file's
// modification time counts as the time of its confirmation.
func plainGeneration(path string, list EndpointList, info os.FileInfo) verification.Generation[Endpoint] {
	generation := verification.Generation[Endpoint]{
		Source:       path,
		ConfirmedAt:  fleet.Time(info.ModTime().UnixNano()),
		Revision:     list.Revision,
		DeclaredSize: len(list.Endpoints),
		Complete:     true,
		Entries:      make(map[string]Endpoint, len(list.Endpoints)),
	}
	for _, endpoint := range list.Endpoints {
		generation.Entries[endpoint.Name] = endpoint
	}
	return generation
}

// readEntries reads the intact entries that follow the header.
func readEntries(
	path string, header cacheHeader, text []byte,
) (generation verification.Generation[Endpoint], errs []error) {
	generation = verification.Generation[Endpoint]{
		Source:       path,
		ConfirmedAt:  fleet.Time(header.ConfirmedAt.UnixNano()),
		Revision:     header.Revision,
		DeclaredSize: min(header.Entries, maxEndpoints),
		Complete:     checksum(text) == header.Checksum,
		Entries:      map[string]Endpoint{},
	}
	const firstLine = 2 // the header is line 1
	for i, line := range bytes.Split(bytes.TrimSuffix(text, []byte{'\n'}), []byte{'\n'}) {
		if len(line) == 0 {
			continue
		}
		endpoint, ok := decodeEntry(line)
		if !ok {
			errs = append(errs, fmt.Errorf("endpoint list cache: %s:%d: %w", path, i+firstLine, errCorruptEntry))
			continue
		}
		if len(generation.Entries) < maxEndpoints {
			generation.Entries[endpoint.Name] = endpoint
		}
	}
	return generation, errs
}

// decodeEntry returns the endpoint of an entry line. It reports false for a corrupt entry.
func decodeEntry(line []byte) (endpoint Endpoint, ok bool) {
	var entry cacheEntry
	if err := json.Unmarshal(line, &entry); err != nil || checksum(entry.Endpoint) != entry.Checksum {
		return Endpoint{}, false
	}
	if err := json.Unmarshal(entry.Endpoint, &endpoint); err != nil {
		return Endpoint{}, false
	}
	return endpoint, validate(endpoint) == nil
}
