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
	"hickorydrum/response"
	"hickorydrum/standin"
	"hickorydrum/upstream"
)

// caller is a simulated client: it does look-ups, caches their responses and sends
// requests to the instances that they name.
type caller struct {
	load   *Load
	client *http.Client
	region int // index of the region that the caller is in

	mu     sync.Mutex // protects the fields below
	random *rand.Rand
	cached entry.LookupResponse
}

// newCaller returns a caller that connects from addr. The second octet of addr gives
// the region of the caller.
func newCaller(l *Load, addr netip.Addr, seed uint64) *caller {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: addr.AsSlice()}}
	return &caller{
		load: l, region: int(addr.As4()[1]) - standin.CallerOctetBase - 1, random: rand.New(rand.NewPCG(seed, 2)),
		client: response.NewClient(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second,
		}, 0),
	}
}

// instanceAddress returns the address of an instance from the cached look-up response,
// or does a new look-up when the response has expired.
func (c *caller) instanceAddress(ctx context.Context) (string, error) {
	c.mu.Lock()
	found := c.cached
	pick := c.random.IntN(1 << 16)
	c.mu.Unlock()
	if time.Now().Before(found.Until) && len(found.Instances) > 0 {
		return found.Instances[pick%len(found.Instances)].Address, nil
	}
	// The instances of the last response are asked before the seeds, which are the fallback.
	candidates := append([]string(nil), c.load.plan.Seeds...)
	for i := range found.Instances {
		candidates = append([]string{found.Instances[(i+pick)%len(found.Instances)].Address}, candidates...)
	}
	var err error
	for _, address := range candidates {
		if found, err = c.lookup(ctx, address); err == nil {
			c.mu.Lock()
			c.cached = found
			c.mu.Unlock()
			return found.Instances[pick%len(found.Instances)].Address, nil
		}
	}
	return "", err
}

// lookup does one look-up at an instance and records its outcome. A response that names
// no instance is an error.
func (c *caller) lookup(ctx context.Context, address string) (found entry.LookupResponse, err error) {
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
		return found, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return found, err
	}
	defer func() { _ = resp.Body.Close() }()
	o.code = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return found, errors.New(resp.Status)
	}
	body, err := response.ReadBody(resp, maxResponseBytes)
	if err != nil {
		return found, err
	}
	if err = json.Unmarshal(body, &found); err == nil && len(found.Instances) == 0 {
		err = errors.New("the look-up response names no instance")
	}
	return found, err
}

// send sends one request of a workload and records its outcome. Failed orders are sent
// again with the same idempotency key, and failed listings unless the response says
// that they were executed; uploads and direct calls are sent once.
func (c *caller) send(ctx context.Context, w Workload, id, direct string) {
	begun := time.Now()
	var o outcome
	notExecuted, sends := 0, 1
	for ; ; sends++ {
		o = c.sendOnce(ctx, w, id, direct)
		if o.execution == "no" {
			notExecuted++
		}
		resend := sends < maxSends && o.code != http.StatusOK && !o.corrupt
		if w.Class == ClassListing {
			resend = resend && o.execution != "yes"
		}
		if !resend || w.Class == ClassUpload || w.Class == ClassDirect {
			break
		}
		if o.code == 0 {
			c.invalidateLookup()
		}
		time.Sleep(resendDelay)
	}
	o.class, o.id, o.latency, o.sends, o.notRun = w.Class, id, time.Since(begun), sends, notExecuted
	c.load.record(o)
}

// invalidateLookup makes the next request do a look-up. It is called after a send that
// got no complete response. It locks the caller.
func (c *caller) invalidateLookup() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached.Until = time.Time{}
}

// sendOnce sends a request to the direct address, or to an instance if that is empty,
// and checks that the response belongs to the request.
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
		return outcome{err: err, corrupt: errors.Is(err, response.ErrInvalid)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := response.ReadBody(resp, maxResponseBytes)
	o := outcome{code: resp.StatusCode, execution: resp.Header.Get(upstream.HeaderRan), err: err}
	switch {
	case err != nil:
		o.code, o.execution = 0, "" // the caller notices the truncation, so it counts as no response and not as a corrupt one
	case resp.StatusCode != http.StatusOK:
		o.err = errors.New(string(body))
	default:
		o.corrupt = !bytes.Equal(body, standin.GenerateBody(id, responseBytes)) || resp.Header.Get(standin.HeaderLoadID) != id ||
			resp.Header.Get(standin.HeaderSum) != sum
	}
	return o
}

// newRequest returns a request of the workload and the hexadecimal SHA-256 of its body.
func (c *caller) newRequest(ctx context.Context, w Workload, id, address string) (*http.Request, string, error) {
	method, content := http.MethodGet, []byte(nil)
	var body io.Reader
	switch w.Class {
	case ClassOrder:
		method, content = http.MethodPost, []byte("order "+id)
		body = bytes.NewReader(content)
	case ClassUpload:
		method, content = http.MethodPost, standin.GenerateBody("upload "+id, w.Size)
		body = &slowBody{remaining: content, due: time.Now(), interval: w.chunkInterval()}
	}
	sum := sha256.Sum256(content)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+w.Path+"/"+id, body)
	if err != nil {
		return nil, "", err
	}
	// Without GetBody net/http cannot resend the body on its own; every send must be counted.
	req.GetBody = nil
	req.ContentLength = int64(len(content))
	req.Header.Set(standin.HeaderLoadID, id)
	req.Header.Set(standin.HeaderSize, strconv.Itoa(responseBytes))
	if w.Class == ClassOrder {
		req.Header.Set(entry.HeaderKey, id)
	}
	if w.Class == ClassListing {
		req.Header.Set(upstream.HeaderTimeout, strconv.FormatInt(listingTimeout.Milliseconds(), 10))
	}
	return req, hex.EncodeToString(sum[:]), nil
}

// chunkInterval returns the time between two chunks of an upload.
func (w Workload) chunkInterval() time.Duration {
	chunks := max(1, w.Size/uploadChunkBytes)
	return time.Duration(w.UploadSeconds / float64(chunks) * float64(time.Second))
}

// slowBody is a request body that is read in chunks at a fixed rate, as from a slow
// client.
type slowBody struct {
	remaining []byte
	due       time.Time
	interval  time.Duration
}

// Read waits until the next chunk is due and returns it.
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
