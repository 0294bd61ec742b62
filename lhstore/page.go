package lhstore

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"io"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

const (
	// PageCount is the number of pages that a configuration is partitioned into. With
	// 16,000 files a page holds 250, and a manifest that lists all pages has 2 KB.
	PageCount = 64
	// pagePrefix is the prefix of the keys of pages.
	pagePrefix = "page/"
	// maxUnpackedSize is the maximum size of a decompressed value, in bytes.
	maxUnpackedSize = 64 << 20
)

// page is one partition of a configuration. It is immutable.
type page struct {
	// Files maps the name of each file to its text.
	Files map[string]string `json:"files,omitempty"`
	// Declarations maps names to declarations, which may come from files of other pages.
	Declarations map[string]Declaration `json:"declared,omitempty"`
}

// fnvOffset is the 32-bit FNV offset basis.
const fnvOffset uint32 = 2166136261

// pageIndex returns the index of the page for the name of a file or declaration.
func pageIndex(name string) int { return int(fnvHash(fnvOffset, name) % PageCount) }

// fnvHash updates a 32-bit FNV-1a hash with a part of a name.
func fnvHash(hash uint32, part string) uint32 {
	for i := range len(part) {
		hash = (hash ^ uint32(part[i])) * 16777619
	}
	return hash
}

// hash returns the hash of the page's contents; empty for an empty page.
func (p page) hash() string {
	if len(p.Files) == 0 && len(p.Declarations) == 0 {
		return ""
	}
	// Maps are encoded in key order, so equal pages have equal hashes.
	data, _ := json.Marshal(p)
	sum := sha256.Sum256(data)
	return base64.RawURLEncoding.EncodeToString(sum[:16])
}

func pageKey(hash string) string { return pagePrefix + hash }

// pack encodes and compresses v. The stamp makes the value of each write unique, so
// that its ETag is unique too if the store computes ETags from values alone.
func pack(v any, stamp string) ([]byte, error) { return packLevel(v, stamp, gzip.BestCompression) }

func packLevel(v any, stamp string, level int) ([]byte, error) {
	var buffer bytes.Buffer
	z, _ := gzip.NewWriterLevel(&buffer, level)
	z.Comment = stamp
	if err := json.NewEncoder(z).Encode(v); err != nil {
		return nil, lhcode.Wrap(lhcode.Internal, err, "encode")
	}
	if err := z.Close(); err != nil {
		return nil, lhcode.Wrap(lhcode.Internal, err, "compress")
	}
	return buffer.Bytes(), nil
}

func unpack(data []byte, v any) error {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return lhcode.Wrap(lhcode.Internal, err, "decompress")
	}
	err = json.NewDecoder(io.LimitReader(z, maxUnpackedSize)).Decode(v)
	return lhcode.Wrap(lhcode.Internal, err, "decode")
}
