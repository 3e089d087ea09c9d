package account_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/account"
	"hickorydrum/fault"
)

func declare(name string, keys ...string) account.Declaration {
	return account.Declaration{Account: account.Account{Name: name}, Keys: keys}
}

// TestLookup guards against requests that count as those of another account, or of none.
func TestLookup(t *testing.T) {
	d, err := account.NewDirectory([]account.Declaration{
		declare("bakery", "k1", "k2"), declare("florist", "k3", "k3", "shared"), declare("grocer", "shared", ""),
	})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct{ key, want string }{
		"first key":                  {"k1", "bakery"},
		"second key":                 {"k2", "bakery"},
		"declared twice by one":      {"k3", "florist"},
		"declared by two accounts":   {"shared", ""},
		"unknown":                    {"k4", ""},
		"empty":                      {"", ""},
		"a prefix of a key":          {"k", ""},
		"a key with something added": {"k1 ", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if a, ok := d.Lookup(test.key); ok {
				got = a.Name
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNoDirectory guards against deployments without accounts that need a key.
func TestNoDirectory(t *testing.T) {
	var d *account.Directory
	if _, ok := d.Lookup("k1"); d.Enabled() || ok || len(d.All()) > 0 {
		t.Error("a directory that is nil has accounts")
	}
}

func TestNewDirectoryRefuses(t *testing.T) {
	tests := map[string][]account.Declaration{
		"no name":         {declare("", "k1")},
		"two of one name": {declare("bakery", "k1"), declare("bakery", "k2")},
	}
	for name, declarations := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := account.NewDirectory(declarations)
			var f *fault.Error
			if !errors.As(err, &f) || f.Kind() != fault.Invalid {
				t.Errorf("error %v, want one of kind invalid", err)
			}
		})
	}
}

// TestKeysAreNotKept guards against keys that show up in a dump or a log line of the directory.
func TestKeysAreNotKept(t *testing.T) {
	d, err := account.NewDirectory([]account.Declaration{declare("bakery", "secret-of-the-bakery")})
	if err != nil {
		t.Fatal(err)
	}
	if text := fmt.Sprintf("%#v %+v", d, *d.All()[0]); strings.Contains(text, "secret") {
		t.Errorf("the directory holds a key: %s", text)
	}
}

func directory(b *testing.B, accounts int) *account.Directory {
	b.Helper()
	var declarations []account.Declaration
	for i := range accounts {
		declarations = append(declarations, declare(fmt.Sprint("account-", i), fmt.Sprint("key-of-account-", i)))
	}
	d, err := account.NewDirectory(declarations)
	if err != nil {
		b.Fatal(err)
	}
	return d
}

func BenchmarkLookup(b *testing.B) {
	for _, accounts := range []int{88, 10_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			d := directory(b, accounts)
			for b.Loop() {
				_, _ = d.Lookup("key-of-account-42")
			}
		})
	}
}

// BenchmarkNewDirectory shows the time and the memory that a new version of the configuration takes for its accounts.
func BenchmarkNewDirectory(b *testing.B) {
	for _, accounts := range []int{88, 10_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				directory(b, accounts)
			}
		})
	}
}
