package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRecordSize is the maximum size of the payload of a record, in bytes.
	maxRecordSize = 16 << 20
	// checksumSize is the size of the checksum before each payload, in bytes.
	checksumSize = 8
)

// Change sets a record, or deletes it if Value is nil. Values are stored as JSON.
type Change struct {
	Key   string
	Value any
}

// record is the encoded form of a change.
type record struct {
	value  []byte // checksum and payload; see encodeRecord
	delete bool
}

func newRecord(change Change) (*record, error) {
	if change.Value == nil {
		return &record{delete: true}, nil
	}
	payload, err := json.Marshal(change.Value)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxRecordSize {
		return nil, fmt.Errorf("payload of %d bytes, the limit is %d bytes", len(payload), maxRecordSize)
	}
	return &record{value: encodeRecord(change.Key, payload)}, nil
}

// encodeRecord returns the payload with a checksum of key and payload before it. The checksum covers the key, so that a
// record stored under the key of another one is detected.
func encodeRecord(key string, payload []byte) []byte {
	digest := xxhash.New()
	_, _ = digest.WriteString(key) // documented to never fail
	_, _ = digest.Write(payload)
	encoded := make([]byte, 0, checksumSize+len(payload))
	encoded = binary.BigEndian.AppendUint64(encoded, digest.Sum64())
	return append(encoded, payload...)
}

// decodeRecord returns the payload of an encoded record, and whether its checksum matches.
func decodeRecord(key string, raw []byte) (payload []byte, valid bool) {
	if len(raw) < checksumSize {
		return nil, false
	}
	payload = raw[checksumSize:]
	encoded := encodeRecord(key, payload)
	return payload, string(encoded[:checksumSize]) == string(raw[:checksumSize])
}

// Key joins parts to a key, separated by slashes. The parts must not contain a slash.
func Key(parts ...string) string { return strings.Join(parts, "/") }
