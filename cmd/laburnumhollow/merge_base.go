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

// mergeBaseFile is the file in a folder that stores its merge base. It has one line for
// each configuration file, so that version control merges it like the files themselves.
const mergeBaseFile = ".applied"

// mergeBase maps file names to content hashes as of the last time that the folder
// matched the configuration in force. It is the common ancestor of a three-way merge:
// a file in the folder that differs from it was changed locally, and a file in force
// that differs from it was changed by another operator.
type mergeBase map[string]string

// readMergeBase returns the merge base of a folder. It is empty for a new folder.
func readMergeBase(dir string) (mergeBase, error) {
	text, err := os.ReadFile(filepath.Join(dir, mergeBaseFile))
	if errors.Is(err, fs.ErrNotExist) {
		return mergeBase{}, nil
	}
	if err != nil {
		return nil, lhcode.Wrap(lhcode.FileUnreadable, err, "read the folder's .applied file")
	}
	b := mergeBase{}
	lines := bufio.NewScanner(strings.NewReader(string(text)))
	for lines.Scan() {
		hash, name, ok := strings.Cut(lines.Text(), " ")
		if !ok {
			return nil, lhcode.Newf(lhcode.SettingInvalid, "%s: invalid line %q: want a hash and a file name", mergeBaseFile, lines.Text())
		}
		b[name] = hash
	}
	return b, nil
}

// newMergeBase returns the merge base of a folder that contains exactly these files.
func newMergeBase(files map[string]string) mergeBase {
	b := mergeBase{}
	for name, text := range files {
		b[name] = lhstore.Hash(text)
	}
	return b
}

// write stores the merge base in a folder.
func (b mergeBase) write(dir string) error {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(b)) {
		fmt.Fprintf(&text, "%s %s\n", b[name], name)
	}
	return writeFolderFile(dir, mergeBaseFile, text.String())
}

// writeFolderFile creates or overwrites a file in a folder.
func writeFolderFile(dir, name, text string) error {
	const readable = 0o644
	err := os.WriteFile(filepath.Join(dir, name), []byte(text), readable)
	return lhcode.Wrap(lhcode.FileUnreadable, err, "write a file in the folder")
}
