package target

import (
	"encoding/binary"
	"hash/fnv"
)

// BlockBytes is the length of the prompt blocks that engines cache, in bytes.
const BlockBytes = 256

// PrefixHashes returns the hash of each whole-block prefix of a prompt, the
// longest last, as engines name prefixes in cache events and KV transfers.
func PrefixHashes(prompt []byte) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/BlockBytes)
	var prev [8]byte
	for len(prompt) >= BlockBytes {
		h := fnv.New64a()
		h.Write(prev[:])
		h.Write(prompt[:BlockBytes])
		sum := h.Sum64()
		hashes = append(hashes, sum)
		binary.BigEndian.PutUint64(prev[:], sum)
		prompt = prompt[BlockBytes:]
	}
	return hashes
}
