package declaration

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	percent     = 100.0
	bitsPerByte = 8
)

// parseShare parses a share such as "5%" and returns it as a fraction of 1.
func parseShare(s string) (float64, error) {
	digits, ok := strings.CutSuffix(strings.TrimSpace(s), "%")
	if !ok {
		return 0, fmt.Errorf("share %q has no percent sign; write for example 5%%", s)
	}
	v, err := strconv.ParseFloat(digits, 64)
	if err != nil || v <= 0 || v > percent {
		return 0, fmt.Errorf("share %q is not between 0%% and 100%%; write for example 5%%", s)
	}
	return v / percent, nil
}

var rateUnits = []struct {
	suffix string
	bits   float64
}{
	{"Gbit", 1e9},
	{"Mbit", 1e6},
	{"kbit", 1e3},
}

// parseRate parses a bit rate such as "4Gbit" and returns it in bytes a second.
func parseRate(s string) (float64, error) {
	for _, unit := range rateUnits {
		digits, ok := strings.CutSuffix(strings.TrimSpace(s), unit.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(digits, 64)
		if err != nil || v <= 0 {
			break
		}
		return v * unit.bits / bitsPerByte, nil
	}
	return 0, fmt.Errorf("rate %q is not a bit rate; write a number and kbit, Mbit or Gbit, such as 4Gbit", s)
}
