// Command genexamples writes the release notes and settings files of the two
// example users below the directory examples.
package main

import (
	"os"
	"path/filepath"

	"github.com/apex/log"
	"github.com/pkg/errors"
)

//go:generate go run . ../../../examples

const (
	dirMode  = 0o755
	fileMode = 0o644
)

func main() {
	root := "examples"
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	if err := writeExamples(root); err != nil {
		log.WithError(err).Fatal("examples could not be written")
	}
}

// writeExamples writes all files below root and replaces existing ones.
func writeExamples(root string) error {
	all, err := renderFiles()
	if err != nil {
		return err
	}
	for path, body := range all {
		path = filepath.Join(root, path)
		if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
			return errors.WithStack(err)
		}
		if err := os.WriteFile(path, body, fileMode); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
