package lhconf

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// fileSuffix is the file name suffix of configuration files.
const fileSuffix = ".ini"

// ReadFolder returns the text of each configuration file in a folder by its name.
// It ignores other files, hidden files and subfolders. The error has the code
// lhcode.NotFound if the folder contains no configuration file.
func ReadFolder(dir string) (map[string]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, lhcode.Wrap(lhcode.FileUnreadable, err, "read configuration folder")
	}
	files := make(map[string]string)
	for _, e := range entries {
		if !e.Type().IsRegular() || !IsFileName(e.Name()) {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, lhcode.Wrap(lhcode.FileUnreadable, err, "read configuration file")
		}
		files[e.Name()] = string(text)
	}
	if len(files) == 0 {
		return nil, lhcode.Newf(lhcode.NotFound, "folder %s contains no %s file", dir, fileSuffix)
	}
	return files, nil
}

// IsFileName reports whether name is valid for a configuration file.
func IsFileName(name string) bool {
	return strings.HasSuffix(name, fileSuffix) && !strings.HasPrefix(name, ".") && !strings.ContainsAny(name, "/\\")
}
