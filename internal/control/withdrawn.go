package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

// WithdrawnKey is a client key that is permanently withdrawn.
type WithdrawnKey struct {
	ID string `json:"id"`
	// Hash is the key's SHA-256 in lower-case hex.
	Hash string `json:"hash"`
	// Sequence numbers the withdrawals in log order, from 1 without gaps. It is 0 while the
	// withdrawal is pending: in effect on every VM that has received it, but not yet in the log.
	Sequence uint64 `json:"sequence"`
}

// withdrawnKeys is a grow-only set of withdrawn keys. Machines append to it; followers add the
// withdrawals they receive, in any order.
type withdrawnKeys struct {
	byID       map[string]WithdrawnKey
	hashes     map[string]bool
	bySequence map[uint64]string // key IDs
	pending    map[string]bool   // IDs of keys without a sequence number
	// contiguous is the highest sequence number up to which none is missing.
	contiguous uint64
	// digest is the XOR of the SHA-256 sums of the keys with sequence numbers 1 to contiguous.
	digest [sha256.Size]byte
}

func newWithdrawnKeys() withdrawnKeys {
	return withdrawnKeys{
		byID:       map[string]WithdrawnKey{},
		hashes:     map[string]bool{},
		bySequence: map[uint64]string{},
		pending:    map[string]bool{},
	}
}

func (w *withdrawnKeys) hasID(id string) bool {
	_, ok := w.byID[id]
	return ok
}

// has reports whether the key ID or the hash is withdrawn.
func (w *withdrawnKeys) has(id, hash string) bool {
	return w.hasID(id) || w.hashes[hash]
}

// append withdraws a key with the next sequence number.
func (w *withdrawnKeys) append(id, hash string) {
	w.add(WithdrawnKey{ID: id, Hash: hash, Sequence: w.contiguous + 1})
}

// add adds a withdrawal and reports whether its ID or hash is new. A key is withdrawn whatever its
// sequence number is: if another key has the same number, the two sources merely have different
// histories.
func (w *withdrawnKeys) add(k WithdrawnKey) bool {
	isNew := !w.hasID(k.ID) || !w.hashes[k.Hash]
	w.hashes[k.Hash] = true
	old, known := w.byID[k.ID]
	if known && (old.Sequence > 0 || k.Sequence == 0) {
		return isNew
	}
	w.byID[k.ID] = k
	if k.Sequence == 0 {
		w.pending[k.ID] = true
		return isNew
	}
	delete(w.pending, k.ID)
	if _, taken := w.bySequence[k.Sequence]; !taken {
		w.bySequence[k.Sequence] = k.ID
	}
	w.advanceContiguous()
	return isNew
}

// advanceContiguous advances contiguous to the last sequence number before a gap and updates the
// digest.
func (w *withdrawnKeys) advanceContiguous() {
	for {
		id, ok := w.bySequence[w.contiguous+1]
		if !ok {
			return
		}
		w.contiguous++
		sum := w.byID[id].sum()
		for i := range sum {
			w.digest[i] ^= sum[i]
		}
	}
}

func (k WithdrawnKey) sum() [sha256.Size]byte {
	return sha256.Sum256(fmt.Appendf(nil, "%d %s %s", k.Sequence, k.ID, k.Hash))
}

func (w *withdrawnKeys) digestHex() string {
	return hex.EncodeToString(w.digest[:])
}

// after returns the keys with a sequence number above the given one, sorted by sequence number
// and ID.
func (w *withdrawnKeys) after(sequence uint64) []WithdrawnKey {
	var keys []WithdrawnKey
	for _, k := range w.byID {
		if k.Sequence > sequence {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b WithdrawnKey) int {
		if a.Sequence != b.Sequence {
			return compare(a.Sequence, b.Sequence)
		}
		return compare(a.ID, b.ID)
	})
	return keys
}

// pendingKeys returns the withdrawals that are not in the log yet, sorted by ID.
func (w *withdrawnKeys) pendingKeys() []WithdrawnKey {
	var keys []WithdrawnKey
	for _, id := range sortedKeys(w.pending) {
		keys = append(keys, w.byID[id])
	}
	return keys
}

// pendingHash returns a hash of the pending withdrawals, empty if there are none.
func (w *withdrawnKeys) pendingHash() string {
	if len(w.pending) == 0 {
		return ""
	}
	all := sha256.New()
	for _, k := range w.pendingKeys() {
		sum := k.sum()
		_, _ = all.Write(sum[:])
	}
	return hex.EncodeToString(all.Sum(nil))
}
