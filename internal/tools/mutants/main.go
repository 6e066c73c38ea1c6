// Command mutants checks that tests guard the conditions which the promises hang
// on: it breaks one condition at a time, in memory, and expects its test to fail.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// mutant is one broken condition.
type mutant struct {
	Name    string `json:"name"`    // what is broken
	File    string `json:"file"`    // relative to the repository
	Old     string `json:"old"`     // text that occurs once in File
	New     string `json:"new"`     // text in its place
	Package string `json:"package"` // of the test
	Test    string `json:"test"`    // name of the test that must fail
}

// TextError reports a mutant whose Old does not occur exactly once.
type TextError struct {
	Mutant, File string
	Count        int
}

// Error implements error.
func (e *TextError) Error() string {
	return fmt.Sprintf("mutant %q: its text occurs %d times in %s, expected once", e.Mutant, e.Count, e.File)
}

// SurvivedError reports mutants that no test found.
type SurvivedError struct{ Names []string }

// Error implements error.
func (e *SurvivedError) Error() string { return "no test fails on: " + strings.Join(e.Names, "; ") }

func main() {
	app := kingpin.New("mutants", "Breaks one condition at a time and expects its test to fail.")
	list := app.Flag("list", "File with the mutants (JSON with comments).").Default("internal/tools/mutants/mutants.jsonc").String()
	only := app.Flag("only", "Run only the mutants whose name contains this text.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(run(*list, *only), "mutants")
}

// run runs the mutants of a list and prints a line for each. *SurvivedError names
// those that no test found.
func run(list, only string) error {
	text, err := os.ReadFile(list)
	if err != nil {
		return errors.WithStack(err)
	}
	text, err = hujson.Standardize(text)
	if err != nil {
		return errors.Wrap(err, list)
	}
	var mutants []mutant
	if err := json.Unmarshal(text, &mutants); err != nil {
		return errors.Wrap(err, list)
	}
	var survived []string
	for _, m := range mutants {
		if !strings.Contains(m.Name, only) {
			continue
		}
		found, err := m.isFound()
		if err != nil {
			return err
		}
		result := "found"
		if !found {
			result = "SURVIVED"
			survived = append(survived, m.Name)
		}
		fmt.Printf("%-9s %-34s %s\n", result, m.Test, m.Name)
	}
	if len(survived) > 0 {
		return &SurvivedError{Names: survived}
	}
	return nil
}

// isFound reports whether the test fails with the condition broken. The file
// itself stays unchanged: the compiler reads the broken one from an overlay.
func (m *mutant) isFound() (bool, error) {
	source, err := os.ReadFile(m.File)
	if err != nil {
		return false, errors.WithStack(err)
	}
	if n := strings.Count(string(source), m.Old); n != 1 {
		return false, &TextError{Mutant: m.Name, File: m.File, Count: n}
	}
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return false, errors.WithStack(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	overlay, err := m.writeOverlay(dir, strings.Replace(string(source), m.Old, m.New, 1))
	if err != nil {
		return false, err
	}
	// A broken build that does not compile proves nothing about the test.
	if out, err := exec.Command("go", "build", "-overlay", overlay, "./...").CombinedOutput(); err != nil {
		return false, errors.Wrapf(err, "mutant %q does not compile: %s", m.Name, out)
	}
	err = exec.Command("go", "test", "-count=1", "-timeout=2m", "-overlay", overlay, "-run", "^"+m.Test+"$", m.Package).Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return true, nil
	}
	return false, errors.WithStack(err)
}

// writeOverlay writes the broken file and the overlay that puts it in the place of
// File, and returns the path of the overlay.
func (m *mutant) writeOverlay(dir, broken string) (string, error) {
	path, err := filepath.Abs(m.File)
	if err != nil {
		return "", errors.WithStack(err)
	}
	replacement := filepath.Join(dir, filepath.Base(m.File))
	if err := os.WriteFile(replacement, []byte(broken), 0o600); err != nil {
		return "", errors.WithStack(err)
	}
	encoded, err := json.Marshal(map[string]map[string]string{"Replace": {path: replacement}})
	if err != nil {
		return "", errors.WithStack(err)
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, errors.WithStack(os.WriteFile(overlay, encoded, 0o600))
}
