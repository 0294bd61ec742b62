package lhstore

import (
	"bytes"
	"compress/gzip"
)

// texts holds files in compressed form, since a VM reads them only to show them, to
// restore the store and to derive the hash of a page. The zero texts holds none.
type texts []byte

// pressTexts compresses files, which are texts by name.
func pressTexts(files map[string]string) texts {
	if len(files) == 0 {
		return nil
	}
	// Strings can always be encoded.
	data, _ := packLevel(files, "", gzip.BestSpeed)
	return bytes.Clone(data)
}

// files returns the files; the caller may change the map.
func (t texts) files() map[string]string {
	files := map[string]string{}
	if len(t) > 0 {
		_ = unpack(t, &files)
	}
	return files
}
