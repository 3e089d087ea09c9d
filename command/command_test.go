package command

import (
	"bytes"
	"context"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"hickorydrum/standin"
)

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

// TestExitCodes checks the exit code of each command for valid and invalid arguments, and
// that the message says what to correct.
func TestExitCodes(t *testing.T) {
	example := filepath.Join("..", "examples", "caltagirone")
	tests := map[string]struct {
		args []string
		code int
		text string // in the output or the error output
	}{
		"version":             {[]string{"version"}, 0, Version},
		"check":               {[]string{"check", example}, 0, "are in order"},
		"check, no directory": {[]string{"check"}, 2, "one directory is needed"},
		"check, empty":        {[]string{"check", t.TempDir()}, 1, "no .yaml file"},
		"serve, no settings":  {[]string{"serve"}, 2, "HICKORYDRUM_NAME"},
		"apply, no platform":  {[]string{"apply", example}, 2, "HICKORYDRUM_PLATFORM"},
		"apply, unreachable":  {[]string{"apply", "-platform", "http://127.0.0.1:9", example}, 1, "does not answer"},
		"status, unreachable": {[]string{"status", "-instance", "127.0.0.1:9"}, 1, "name another instance"},
		"lookup, no address":  {[]string{"lookup"}, 2, "-at is missing"},
		"certify, no names":   {[]string{"certify", "-dir", "x"}, 2, "names of instances"},
		"unknown command":     {[]string{"frobnicate"}, 2, ""},
		"unknown flag":        {[]string{"-x"}, 2, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			code, out, errOut := run(test.args...)
			if code != test.code || !strings.Contains(out+errOut, test.text) {
				t.Errorf("exit code %d, want %d, with %q in:\n%s%s", code, test.code, test.text, out, errOut)
			}
		})
	}
}

// TestPlanAndApply checks what plan and apply print for new, equal and changed declarations.
func TestPlanAndApply(t *testing.T) {
	server := httptest.NewServer(standin.PlatformHandler(standin.NewStore()))
	defer server.Close()
	example := filepath.Join("..", "examples", "valderrama")
	steps := []struct {
		args []string
		text string
	}{
		{[]string{"plan", "-platform", server.URL, example}, "add    service phrases"},
		{[]string{"apply", "-platform", server.URL, example}, "revision 2 is accepted"},
		{[]string{"apply", "-platform", server.URL, example}, "holds these declarations already"},
		{[]string{"plan", "-platform", server.URL, filepath.Join("..", "examples", "caltagirone")}, "remove service phrases"},
	}
	for _, step := range steps {
		code, out, errOut := run(step.args...)
		if code != 0 || !strings.Contains(out, step.text) {
			t.Errorf("%v: exit code %d, want %q in:\n%s%s", step.args, code, step.text, out, errOut)
		}
	}
}

// TestCertify checks that a second call uses the authority of the first one: the directory
// then has one pair of files for it and one for each of three instances.
func TestCertify(t *testing.T) {
	dir := t.TempDir()
	for _, names := range [][]string{{"a", "b"}, {"c"}} {
		code, _, errOut := run(append([]string{"certify", "-dir", dir}, names...)...)
		if code != 0 {
			t.Fatalf("exit code %d: %s", code, errOut)
		}
	}
	if files, _ := filepath.Glob(filepath.Join(dir, "*.pem")); len(files) != 8 {
		t.Errorf("the directory has the files %v, want 8", files)
	}
}
