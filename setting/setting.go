// Package setting defines the settings of a process: a table of flags, environment
// variables and defaults, whose values are checked together.
package setting

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"hickorydrum/fault"
)

// EnvPrefix is the prefix of the names of all environment variables.
const EnvPrefix = "HICKORYDRUM_"

// Setting is one row of the table.
type Setting struct {
	name         string
	usage        string
	defaultValue string
	check        func(value string) error
}

// Name returns the name of the flag.
func (s Setting) Name() string { return s.name }

// Env returns the name of the environment variable.
func (s Setting) Env() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(s.name, "-", "_"))
}

// Usage returns the help text of the setting.
func (s Setting) Usage() string { return s.usage }

// Default returns the value that holds without a flag or environment variable.
func (s Setting) Default() string { return s.defaultValue }

// Table holds the settings of one command and, after SetFlags, their values.
type Table struct {
	rows   []Setting
	values map[string]*string
	env    func(string) (string, bool)
}

// NewTable returns a table with the given rows.
func NewTable(rows ...Setting) *Table {
	return &Table{rows: rows, values: make(map[string]*string), env: os.LookupEnv}
}

// Rows returns the rows of the table.
func (t *Table) Rows() []Setting { return t.rows }

// SetFlags defines the flags in f. A flag overrides its environment variable, which
// overrides the default.
func (t *Table) SetFlags(f *flag.FlagSet) {
	for _, row := range t.rows {
		value := row.defaultValue
		if v, ok := t.env(row.Env()); ok {
			value = v
		}
		t.values[row.name] = f.String(row.name, value, row.usage+" (environment: "+row.Env()+")")
	}
}

// Check checks every value. It returns one error that lists all invalid settings, of
// kind fault.Invalid, or nil.
func (t *Table) Check() error {
	var problems []string
	for _, row := range t.rows {
		if err := row.check(t.Value(row.name)); err != nil {
			problems = append(problems, fmt.Sprintf("-%s: %v (or set %s)", row.name, err, row.Env()))
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return fault.New(fault.Invalid, strings.Join(problems, "\n"), "docs/SETTINGS.md lists every setting")
}

// Value returns the value of a setting as text, or "" for an unknown name.
func (t *Table) Value(name string) string {
	if v, ok := t.values[name]; ok {
		return *v
	}
	return ""
}

// Duration returns the value of a setting that Check has found to be a duration.
func (t *Table) Duration(name string) time.Duration {
	d, _ := time.ParseDuration(t.Value(name))
	return d
}

// List returns the parts of a value that is separated by commas, without spaces and
// empty parts.
func (t *Table) List(name string) []string {
	var out []string
	for _, part := range strings.Split(t.Value(name), ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func required(value string) error {
	if value == "" {
		return fmt.Errorf("a value is missing")
	}
	return nil
}

func address(value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%q is not an IP number and port; write it such as 10.1.0.4:8080", value)
	}
	return nil
}

func optional(check func(string) error) func(string) error {
	return func(value string) error {
		if value == "" {
			return nil
		}
		return check(value)
	}
}

func addresses(value string) error {
	for _, part := range strings.Split(value, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		if err := address(part); err != nil {
			return err
		}
	}
	return nil
}

func httpURL(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return fmt.Errorf("%q is not an HTTP address; write it such as http://10.1.0.9:7000", value)
	}
	return nil
}

func ipNumber(value string) error {
	if net.ParseIP(value) == nil {
		return fmt.Errorf("%q is not an IP number; write it such as 10.1.0.4", value)
	}
	return nil
}

func name(value string) error {
	if value == "" || len(value) > 64 || strings.ContainsFunc(value, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-')
	}) {
		return fmt.Errorf("%q is not a name; use 1 to 64 lower-case letters, digits and hyphens", value)
	}
	return nil
}

func between(least, most time.Duration) func(string) error {
	return func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d < least || d > most {
			return fmt.Errorf("%q is not a time from %s to %s; write it such as %s", value, least, most, least)
		}
		return nil
	}
}

func oneOf(words ...string) func(string) error {
	return func(value string) error {
		for _, w := range words {
			if w == value {
				return nil
			}
		}
		return fmt.Errorf("%q is none of %s", value, strings.Join(words, ", "))
	}
}

// Platform returns the setting for the platform's address.
func Platform() Setting {
	return Setting{name: "platform", usage: "HTTP address of the platform's object API", check: httpURL}
}

// Instance returns the setting for the admin address of an instance, which commands
// call.
func Instance() Setting {
	return Setting{name: "instance", usage: "admin address of any instance", check: address}
}

// Serve returns the settings of an instance.
func Serve() *Table {
	return NewTable(
		Setting{name: "name", usage: "name of the instance, as in its certificate", check: name},
		Setting{name: "region", usage: "region that the instance stands in", check: name},
		Setting{name: "domain", usage: "failure domain that the instance stands in", check: name},
		Platform(),
		Setting{name: "caller", usage: "address to listen on for callers", check: address},
		Setting{name: "peer", usage: "UDP address to listen on for other instances", check: address},
		Setting{name: "probe", usage: "address to listen on for proof that the process runs", check: address},
		Setting{name: "admin", usage: "address to listen on for operators: metrics, status, readiness", check: address},
		Setting{name: "announce-caller", usage: "address that callers are told, if not -caller", check: optional(address)},
		Setting{name: "announce-peer", usage: "address that instances are told, if not -peer", check: optional(address)},
		Setting{name: "announce-probe", usage: "probe address that instances are told, if not -probe", check: optional(address)},
		Setting{name: "bind", usage: "IP number that outgoing connections come from", check: optional(ipNumber)},
		Setting{name: "seeds", usage: "peer addresses to ask while the platform does not answer, by commas", check: addresses},
		Setting{name: "ca", usage: "certificate authority: file name or PEM text", check: required},
		Setting{name: "cert", usage: "certificate of the instance: file name or PEM text", check: required},
		Setting{name: "key", usage: "private key of the instance: file name or PEM text", check: required},
		Setting{
			name: "lookup-life", usage: "how long callers may keep the answer to a look-up", defaultValue: "3s",
			check: between(time.Second, time.Minute),
		},
		Setting{name: "log", usage: "format of the log: text or json", defaultValue: "text", check: oneOf("text", "json")},
		logLevel(),
		Setting{name: "otlp", usage: "HTTP address of a trace collector; empty for none", check: optional(httpURL)},
	)
}

// Host returns the settings of an instance that runs on the platform and takes the
// rest from the settings file of its machine.
func Host() *Table {
	return NewTable(
		Setting{name: "node-file", usage: "settings file that the platform wrote for this machine", check: required},
		logLevel(),
	)
}

func logLevel() Setting {
	return Setting{
		name: "log-level", usage: "least level of the log: debug, info, warn or error", defaultValue: "info",
		check: oneOf("debug", "info", "warn", "error"),
	}
}

// Logger returns a logger that writes to w at the level in the table, as text if the table
// has the format text and otherwise as JSON lines.
func (t *Table) Logger(w io.Writer) *slog.Logger {
	opts := &slog.HandlerOptions{Level: t.level()}
	if t.Value("log") == "text" {
		return slog.New(slog.NewTextHandler(w, opts))
	}
	return slog.New(slog.NewJSONHandler(w, opts))
}

func (t *Table) level() slog.Level {
	var level slog.Level
	_ = level.UnmarshalText([]byte(t.Value("log-level"))) // Check has found it to be a level
	return level
}
