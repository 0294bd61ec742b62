package main

import (
	"bufio"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
	"github.com/pkg/errors"
)

// baseName is the file of a folder that holds its base. It has one line for each
// configuration file, so that version control merges it as it merges the files.
const baseName = ".applied"

// base holds the hash of each file of a folder as it was when the folder last
// agreed with the configuration in force. What differs from it are the changes of
// this folder's owner; what others have changed meanwhile differs from it too.
type base map[string]string

// readBase returns the base of a folder; it is empty for a new folder.
func readBase(dir string) (base, error) {
	text, err := os.ReadFile(filepath.Join(dir, baseName))
	if errors.Is(err, fs.ErrNotExist) {
		return base{}, nil
	}
	if err != nil {
		return nil, lhcode.Wrap(lhcode.FileUnreadable, err, "read the folder's base")
	}
	b := base{}
	lines := bufio.NewScanner(strings.NewReader(string(text)))
	for lines.Scan() {
		hash, name, ok := strings.Cut(lines.Text(), " ")
		if !ok {
			return nil, lhcode.Newf(lhcode.SettingInvalid, "%s: a line is a hash and a file name, not %q", baseName, lines.Text())
		}
		b[name] = hash
	}
	return b, nil
}

// newBase returns the base of a folder that agrees with the configuration in force.
func newBase(files map[string]string) base {
	b := base{}
	for name, text := range files {
		b[name] = lhstore.Hash(text)
	}
	return b
}

// write stores the base in a folder.
func (b base) write(dir string) error {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(b)) {
		fmt.Fprintf(&text, "%s %s\n", b[name], name)
	}
	return writeFolderFile(dir, baseName, text.String())
}

// writeFolderFile replaces a file of a folder.
func writeFolderFile(dir, name, text string) error {
	const readable = 0o644
	err := os.WriteFile(filepath.Join(dir, name), []byte(text), readable)
	return lhcode.Wrap(lhcode.FileUnreadable, err, "write to the folder")
}
