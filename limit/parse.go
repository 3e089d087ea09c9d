package limit

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxPerSecond is the highest limit that an upstream may name, in requests a second. A
// higher one is an error of the upstream.
const MaxPerSecond = 1e6

// Parse returns the limit in the values of a response's header, in requests a second, and
// whether they name one. A limit that is no decimal number from 0 to MaxPerSecond, or is
// repeated, gives an error.
func Parse(values []string) (perSecond float64, named bool, err error) {
	switch len(values) {
	case 0:
		return 0, false, nil
	case 1:
	default:
		return 0, false, fmt.Errorf("the limit is repeated %d times", len(values))
	}
	perSecond, err = strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil {
		return 0, false, fmt.Errorf("the limit is not a number: %w", err)
	}
	if math.IsNaN(perSecond) || perSecond < 0 || perSecond > MaxPerSecond {
		return 0, false, errors.New("the limit is not between 0 and the highest possible")
	}
	return perSecond, true, nil
}
