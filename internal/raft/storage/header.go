package storage

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// Layout of the two header pages of a bbolt file, in bytes.
const (
	pageHeaderSize    = 16
	headerSize        = 64
	headerPageSizeAt  = 8
	headerPageCountAt = 40
	headerTxAt        = 48
	headerChecksumAt  = 56
	headerMagic       = 0xED0CDAED
	minPageSize       = 512
	maxPageSize       = 64 << 10
)

// checkHeaders returns an error if either header page is damaged or the file is shorter than its
// header states. The database would fall back to the other, older header and silently lose the
// last batch, which may contain a vote or an acknowledged entry.
func checkHeaders(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return err
	}
	first, err := readHeader(file, 0)
	if err != nil {
		return err
	}
	pageSize := int64(binary.LittleEndian.Uint32(first[headerPageSizeAt:]))
	if pageSize < minPageSize || pageSize > maxPageSize {
		return errors.Newf("header names a page size of %d bytes", pageSize)
	}
	second, err := readHeader(file, pageSize)
	if err != nil {
		return err
	}
	newest := first
	if binary.LittleEndian.Uint64(second[headerTxAt:]) > binary.LittleEndian.Uint64(first[headerTxAt:]) {
		newest = second
	}
	pages := binary.LittleEndian.Uint64(newest[headerPageCountAt:])
	if uint64(info.Size())/uint64(pageSize) < pages {
		return errors.Newf("the file is cut short: %d bytes, header names %d pages of %d bytes", info.Size(), pages, pageSize)
	}
	return nil
}

func readHeader(file *os.File, at int64) ([]byte, error) {
	header := make([]byte, headerSize)
	if _, err := file.ReadAt(header, at+pageHeaderSize); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, errors.New("the file is cut short within its header")
		}
		return nil, err
	}
	hash := fnv.New64a()
	hash.Write(header[:headerChecksumAt])
	if binary.LittleEndian.Uint32(header) != headerMagic || hash.Sum64() != binary.LittleEndian.Uint64(header[headerChecksumAt:]) {
		return nil, errors.Newf("the header at byte %d is damaged", at)
	}
	return header, nil
}
