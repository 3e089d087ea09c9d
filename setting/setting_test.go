package setting

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPage(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := slices.Concat(Serve().Rows(), Host().Rows(), []Setting{Platform(), Instance()})
	var want []string
	for _, r := range rows {
		want = append(want, fmt.Sprintf("| `-%s` | `%s` | %s | %s |", r.Name(), r.Env(), r.Default(), r.Usage()))
	}
	var got []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `-") {
			got = append(got, line)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func load(t *testing.T, env map[string]string, args ...string) *Table {
	t.Helper()
	table := Serve()
	table.env = func(name string) (string, bool) {
		v, ok := env[name]
		return v, ok
	}
	flags := flag.NewFlagSet("test", flag.ContinueOnError)
	table.SetFlags(flags)
	if err := flags.Parse(args); err != nil {
		t.Fatal(err)
	}
	return table
}

var good = []string{
	"-name", "a-1", "-region", "one", "-domain", "a", "-platform", "http://10.0.0.1:7000", "-caller", "10.0.0.2:80",
	"-peer", "10.0.0.2:81", "-probe", "10.0.0.2:82", "-admin", "10.0.0.2:83", "-ca", "x", "-cert", "y", "-key", "z",
}

func TestCheck(t *testing.T) {
	tests := map[string]struct {
		args []string
		want []string // flags that the error names
	}{
		"good":                {good, nil},
		"nothing":             {nil, []string{"name", "region", "domain", "platform", "caller", "peer", "probe", "admin", "ca", "cert", "key"}},
		"caller by name":      {append(good, "-caller", "host:80"), []string{"caller"}},
		"platform not HTTP":   {append(good, "-platform", "ftp://x"), []string{"platform"}},
		"life too short":      {append(good, "-lookup-life", "1ms"), []string{"lookup-life"}},
		"log format":          {append(good, "-log", "xml"), []string{"log"}},
		"two faults at once":  {append(good, "-log-level", "loud", "-bind", "host"), []string{"bind", "log-level"}},
		"one of several seed": {append(good, "-seeds", "10.0.0.1:1,nowhere"), []string{"seeds"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			if err := load(t, nil, test.args...).Check(); err != nil {
				for _, line := range strings.Split(err.Error(), "\n") {
					got = append(got, strings.TrimPrefix(strings.Split(line, ":")[0], "-"))
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestFlagGoesBeforeEnvironment(t *testing.T) {
	env := map[string]string{"HICKORYDRUM_NAME": "from-env", "HICKORYDRUM_LOOKUP_LIFE": "9s"}
	table := load(t, env, "-name", "from-flag")
	got := []string{table.Value("name"), table.Duration("lookup-life").String()}
	if diff := cmp.Diff([]string{"from-flag", "9s"}, got); diff != "" {
		t.Error(diff)
	}
}
