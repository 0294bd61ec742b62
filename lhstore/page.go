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
	// PageCount is the number of pages that the files are parted over. With 16,000
	// files a page holds 250, and a manifest that names all pages has 2 KB.
	PageCount = 64
	// pagePrefix begins the key of each page.
	pagePrefix = "page/"
	// maxUnpacked bounds what a value may grow to when it is decompressed, in bytes.
	maxUnpacked = 64 << 20
)

// page is one part of a configuration. It is never changed after it has been built.
type page struct {
	// Files holds the text of each file by name.
	Files map[string]string `json:"files,omitempty"`
	// Declared holds what the files of all pages declare, by name.
	Declared map[string]Declaration `json:"declared,omitempty"`
}

// hashStart is the hash of no name.
const hashStart uint32 = 2166136261

// pageOf returns the index of the page for the name of a file or declaration.
func pageOf(name string) int { return int(hashName(hashStart, name) % PageCount) }

// hashName carries the 32-bit FNV-1a hash of a name on by a part of it.
func hashName(hash uint32, part string) uint32 {
	for i := range len(part) {
		hash = (hash ^ uint32(part[i])) * 16777619
	}
	return hash
}

// hash returns the name of the page's contents; empty for an empty page.
func (p page) hash() string {
	if len(p.Files) == 0 && len(p.Declared) == 0 {
		return ""
	}
	// Maps are encoded in the order of their keys, so equal pages have equal hashes.
	data, _ := json.Marshal(p)
	sum := sha256.Sum256(data)
	return base64.RawURLEncoding.EncodeToString(sum[:16])
}

func pageKey(hash string) string { return pagePrefix + hash }

// pack encodes v for the store. The stamp makes each write differ from all
// others, also at a store whose ETag depends on the value alone.
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
	err = json.NewDecoder(io.LimitReader(z, maxUnpacked)).Decode(v)
	return lhcode.Wrap(lhcode.Internal, err, "decode")
}
