// Package account holds the client accounts of a configuration, and finds the account of a key.
// It keeps digests of the keys only. It does no input or output.
package account

import (
	"crypto/sha256"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hickorydrum/fault"
)

// Account is the declaration of a client account. It is immutable.
type Account struct {
	Name string
	// Priority takes precedence over that of the route; 0 is the highest.
	Priority int
	// Rate and Burst are the quota at all instances together: requests a second, and requests in
	// addition. Without a rate there is no quota.
	Rate  float64
	Burst float64
	// HomeRegions are the regions that may serve the account; if there are none, all may.
	HomeRegions []string
}

// AllowsRegion reports whether a region may serve the account.
func (a *Account) AllowsRegion(region string) bool {
	return len(a.HomeRegions) == 0 || slices.Contains(a.HomeRegions, region)
}

// Limited reports whether the account has a quota.
func (a *Account) Limited() bool { return a.Rate > 0 }

// Hash returns the hash that identifies the account at all instances.
func (a *Account) Hash() uint64 { return xxhash.Sum64String(a.Name) }

// Declaration is an account with its keys.
type Declaration struct {
	Account Account
	Keys    []string
}

type digest [sha256.Size]byte

// Directory finds the account of a key. It is immutable, and the nil Directory has no accounts.
type Directory struct {
	// byKey has nil for a key that several accounts declare.
	byKey map[digest]*Account
	all   []*Account
}

// NewDirectory returns the directory of the declared accounts. The error is of kind fault.Invalid if
// an account has no name, or two have the same.
func NewDirectory(declarations []Declaration) (*Directory, error) {
	d := &Directory{byKey: make(map[digest]*Account)}
	names := make(map[string]bool, len(declarations))
	for i := range declarations {
		a := declarations[i].Account
		if a.Name == "" || names[a.Name] {
			return nil, fault.New(fault.Invalid, "a client account has no name, or that of another one", "correct the configuration")
		}
		names[a.Name] = true
		d.all = append(d.all, &a)
		d.addKeys(&a, declarations[i].Keys)
	}
	return d, nil
}

func (d *Directory) addKeys(a *Account, keys []string) {
	for _, key := range keys {
		if key == "" {
			continue
		}
		sum := digest(sha256.Sum256([]byte(key)))
		if other, ok := d.byKey[sum]; ok && other != a {
			d.byKey[sum] = nil // nobody can say whose request it is
			continue
		}
		d.byKey[sum] = a
	}
}

// Enabled reports whether requests need a key.
func (d *Directory) Enabled() bool { return d != nil }

// Lookup returns the account that has the key.
func (d *Directory) Lookup(key string) (*Account, bool) {
	if d == nil {
		return nil, false
	}
	a := d.byKey[sha256.Sum256([]byte(key))]
	return a, a != nil
}

// All returns the accounts in the order of their declaration. The caller must not change the slice.
func (d *Directory) All() []*Account {
	if d == nil {
		return nil
	}
	return d.all
}
