package lhconf

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// fileSuffix ends the name of each file that belongs to a configuration.
const fileSuffix = ".ini"

// ReadFolder returns the texts of a folder's configuration files by their names.
// Other files, hidden ones and folders within are passed over. The error has
// lhcode.NotFound where the folder holds no configuration file.
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
		return nil, lhcode.Newf(lhcode.NotFound, "folder %s holds no %s file", dir, fileSuffix)
	}
	return files, nil
}

// IsFileName reports whether a file of this name belongs to a configuration.
func IsFileName(name string) bool {
	return strings.HasSuffix(name, fileSuffix) && !strings.HasPrefix(name, ".") && !strings.ContainsAny(name, "/\\")
}
