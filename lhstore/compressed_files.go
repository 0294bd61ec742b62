package lhstore

import (
	"bytes"
	"compress/gzip"
)

// compressedFiles holds the texts of files by name, encoded and compressed. A VM
// decompresses them only to show them, to restore the store and to compute the hash
// of a page. The zero value holds no files.
type compressedFiles []byte

// compressFiles compresses files, a map from name to text.
func compressFiles(files map[string]string) compressedFiles {
	if len(files) == 0 {
		return nil
	}
	// Encoding a map of strings can't fail.
	data, _ := packLevel(files, "", gzip.BestSpeed)
	return bytes.Clone(data)
}

// files returns a map from name to text, which the caller may modify.
func (c compressedFiles) files() map[string]string {
	files := map[string]string{}
	if len(c) > 0 {
		_ = unpack(c, &files)
	}
	return files
}
