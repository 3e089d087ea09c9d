package event

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestCatalogue(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	last := 0
	for _, e := range All() {
		want = append(want, fmt.Sprintf("| %d | %s | %s |", e.Number(), e.Level(), e.Text()))
		if e.Number() <= last {
			t.Errorf("event %d follows event %d", e.Number(), last)
		}
		last = e.Number()
	}
	var got []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| event") && !strings.HasPrefix(line, "| ---") {
			got = append(got, line)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestLog(t *testing.T) {
	var buf bytes.Buffer
	Ready.Log(context.Background(), slog.New(slog.NewTextHandler(&buf, nil)), slog.String("x", "y"))
	if line := buf.String(); !strings.Contains(line, "event=101") || !strings.Contains(line, "x=y") {
		t.Errorf("logged %q", line)
	}
}
