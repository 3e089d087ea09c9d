package trial

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"hickorydrum/entry"
	"hickorydrum/standin"
	"hickorydrum/upstream"
)

// caller asks look-ups, keeps their answers and sends requests.
type caller struct {
	load   *Load
	client *http.Client
	region int // index of the region that the caller is near

	mu     sync.Mutex
	random *rand.Rand
	cached entry.Lookup
}

func newCaller(l *Load, addr netip.Addr, seed uint64) *caller {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: addr.AsSlice()}}
	return &caller{
		load: l, region: int(addr.As4()[1]) - standin.FirstCallers - 1, random: rand.New(rand.NewPCG(seed, 2)),
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second,
		}},
	}
}

// instance returns an instance from the kept look-up, or asks again.
func (c *caller) instanceAddress(ctx context.Context) (string, error) {
	c.mu.Lock()
	answer := c.cached
	pick := c.random.IntN(1 << 16)
	c.mu.Unlock()
	if time.Now().Before(answer.Until) && len(answer.Instances) > 0 {
		return answer.Instances[pick%len(answer.Instances)].Address, nil
	}
	// The instances of the last answer know best; the seeds are for the rest.
	ask := append([]string(nil), c.load.plan.Seeds...)
	for i := range answer.Instances {
		ask = append([]string{answer.Instances[(i+pick)%len(answer.Instances)].Address}, ask...)
	}
	var err error
	for _, address := range ask {
		if answer, err = c.lookup(ctx, address); err == nil {
			c.mu.Lock()
			c.cached = answer
			c.mu.Unlock()
			return answer.Instances[pick%len(answer.Instances)].Address, nil
		}
	}
	return "", err
}

func (c *caller) lookup(ctx context.Context, address string) (answer entry.Lookup, err error) {
	begun := time.Now()
	o := outcome{class: ClassLookup, id: "lookup at " + address, execution: "no"}
	defer func() {
		o.latency, o.err = time.Since(begun), err
		c.load.record(o)
	}()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+entry.LookupPath, nil)
	if err != nil {
		return answer, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	o.code = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return answer, errors.New(resp.Status)
	}
	if err = json.NewDecoder(resp.Body).Decode(&answer); err == nil && len(answer.Instances) == 0 {
		err = errors.New("no instance named")
	}
	return answer, err
}

// send sends one request of a class; orders are sent again with the same key
// when their outcome is open.
func (c *caller) send(ctx context.Context, w Workload, id, direct string) {
	begun := time.Now()
	var o outcome
	notRun, try := 0, 1
	for ; ; try++ {
		o = c.sendOnce(ctx, w, id, direct)
		if o.execution == "no" {
			notRun++
		}
		again := try < maxSends && o.code != http.StatusOK && !o.corrupt
		if w.Class == ClassListing {
			again = again && o.execution != "yes"
		}
		if !again || w.Class == ClassUpload || w.Class == ClassDirect {
			break
		}
		if o.code == 0 {
			c.invalidateLookup()
		}
		time.Sleep(resendDelay)
	}
	o.class, o.id, o.latency, o.sends, o.notRun = w.Class, id, time.Since(begun), try, notRun
	c.load.record(o)
}

// forget makes the next request ask a look-up, as after a failed connection.
func (c *caller) invalidateLookup() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached.Until = time.Time{}
}

func (c *caller) sendOnce(ctx context.Context, w Workload, id, direct string) outcome {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	address := direct
	if address == "" {
		var err error
		if address, err = c.instanceAddress(ctx); err != nil {
			return outcome{execution: "no", err: err}
		}
	}
	req, sum, err := c.newRequest(ctx, w, id, address)
	if err != nil {
		return outcome{execution: "no", err: err}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	o := outcome{code: resp.StatusCode, execution: resp.Header.Get(upstream.HeaderRan), err: err}
	switch {
	case err != nil:
		o.code, o.execution = 0, "" // cut short, and seen to be
	case resp.StatusCode != http.StatusOK:
		o.err = errors.New(string(body))
	default:
		o.corrupt = !bytes.Equal(body, standin.Content(id, len(body))) || resp.Header.Get(standin.HeaderLoadID) != id ||
			resp.Header.Get(standin.HeaderSum) != sum
	}
	return o
}

func (c *caller) newRequest(ctx context.Context, w Workload, id, address string) (*http.Request, string, error) {
	method, content := http.MethodGet, []byte(nil)
	var body io.Reader
	switch w.Class {
	case ClassOrder:
		method, content = http.MethodPost, []byte("order "+id)
		body = bytes.NewReader(content)
	case ClassUpload:
		method, content = http.MethodPost, standin.Content("upload "+id, w.Size)
		body = &slowBody{remaining: content, due: time.Now(), interval: w.chunkInterval()}
	}
	sum := sha256.Sum256(content)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+w.Path+"/"+id, body)
	if err != nil {
		return nil, "", err
	}
	// The library must not send anything again on its own.
	req.GetBody = nil
	req.ContentLength = int64(len(content))
	req.Header.Set(standin.HeaderLoadID, id)
	if w.Class == ClassOrder {
		req.Header.Set(entry.HeaderKey, id)
	}
	if w.Class == ClassListing {
		req.Header.Set(upstream.HeaderTimeout, strconv.FormatInt(listingTimeout.Milliseconds(), 10))
	}
	return req, hex.EncodeToString(sum[:]), nil
}

func (w Workload) chunkInterval() time.Duration {
	parts := max(1, w.Size/uploadChunkBytes)
	return time.Duration(w.UploadSeconds / float64(parts) * float64(time.Second))
}

// slowBody sends a body part by part.
type slowBody struct {
	remaining []byte
	due       time.Time
	interval  time.Duration
}

// Read returns the next part when it is due.
func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.remaining) == 0 {
		return 0, io.EOF
	}
	standin.SleepUntil(b.due)
	n := copy(p, b.remaining[:min(len(b.remaining), uploadChunkBytes)])
	b.due = b.due.Add(b.interval * time.Duration(n) / uploadChunkBytes)
	b.remaining = b.remaining[n:]
	return n, nil
}
