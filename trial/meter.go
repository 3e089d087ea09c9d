package trial

import (
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const loopbackBytesFile = "/sys/class/net/lo/statistics/tx_bytes"

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the size of the live heap. The second collection frees what
// sync.Pools retain through the first.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// loopbackSentBytes returns the bytes that the loopback interface has sent, or NaN
// if the counter cannot be read.
func loopbackSentBytes() float64 {
	data, err := os.ReadFile(loopbackBytesFile)
	if err != nil {
		return math.NaN()
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(string(data)), 64)
	if err != nil {
		return math.NaN()
	}
	return n
}

// median calls measure once per round and returns the median of the results.
func median(rounds int, measure func() float64) float64 {
	values := make([]float64, rounds)
	for i := range values {
		values[i] = measure()
	}
	return medianOf(values)
}

// medianOf returns the median of the values; of an even count it is the upper one.
func medianOf(values []float64) float64 {
	return slices.Sorted(slices.Values(values))[len(values)/2]
}
