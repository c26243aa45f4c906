package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// checksumSize is the size in bytes of the CRC-32C before each record. The checksum also covers
// the key, so that a record stored under the wrong key is detected.
const checksumSize = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(key, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, payload)
}

func encodeRecord(key []byte, m proto.Message) ([]byte, error) {
	record, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, checksumSize), m)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint32(record, checksum(key, record[checksumSize:]))
	return record, nil
}

func decodeRecord(key, record []byte, m proto.Message) error {
	if len(record) < checksumSize {
		return errors.Newf("record %x is missing or too short", key)
	}
	payload := record[checksumSize:]
	if binary.BigEndian.Uint32(record) != checksum(key, payload) {
		return errors.Newf("record %x has a wrong checksum", key)
	}
	return errors.Wrapf(proto.Unmarshal(payload, m), "record %x", key)
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}
