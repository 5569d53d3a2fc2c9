package tableversion

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies the content of a table, independent of the order of its entries: it is the sum of the digests of
// the entries modulo 2^64. It can therefore be updated in constant time when an entry changes.
type Digest uint64

// String returns the digest as 16 hexadecimal digits.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// digestBufferSize is in bytes. It is large enough to encode an entry with a usual server name without an allocation.
const digestBufferSize = 128

// EntryDigest returns the digest of one entry: the xxhash64 of the server's name, a space and the decimal weight,
// as in "node-07 128". An entry of weight 0 is the same as no entry and has digest 0.
func EntryDigest(server string, weight int) Digest {
	if weight <= 0 {
		return 0
	}
	var buffer [digestBufferSize]byte
	text := append(append(buffer[:0], server...), ' ')
	return Digest(xxhash.Sum64(strconv.AppendInt(text, int64(weight), 10)))
}
