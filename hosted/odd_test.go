package hosted

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hickorydrum/mirror"
	"hickorydrum/platform"
	"hickorydrum/standin"
)

// oddObjects returns objects that a stranger may have written among those of the upstreams.
func oddObjects() []string {
	good := `{"address":"127.0.0.1:%s","born":%s,"info":{"service":"list","zone":"one-a","slots":4},"status":{"state":"ready","coldRemainingMs":0}}`
	born := fmt.Sprint(time.Now().Add(-time.Minute).UnixMilli())
	specs := map[string]string{
		"odd-1":          strings.Repeat("[", 400_000) + strings.Repeat("]", 400_000),
		"odd-2":          fmt.Sprintf(good, "99999", born),
		"odd-3":          fmt.Sprintf(good, "80", "1e400"),
		"odd-4":          fmt.Sprintf(good, "80", fmt.Sprint(time.Now().Add(48*time.Hour).UnixMilli())),
		"odd-5":          `null`,
		"odd-6":          `"` + strings.Repeat("x", platform.MaxValue-10) + `"`,
		`odd\r\nHost: x`: fmt.Sprintf(good, "80", born),
	}
	var out []string
	for name, spec := range specs {
		out = append(out, fmt.Sprintf(`{"metadata":{"name":"%s","revision":1,"createdRev":1,"finalizers":[]},"spec":%s,"status":null}`, name, spec))
	}
	return out
}

// withOddObjects returns a handler that adds odd objects to each list and watch of upstreams.
func withOddObjects(h http.Handler) http.Handler {
	items := strings.Join(oddObjects(), ",")
	var events []string
	for _, o := range oddObjects() {
		events = append(events, `{"deleted":false,"object":`+o+`}`)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/objects/"+platform.KindUpstreams {
			h.ServeHTTP(w, r)
			return
		}
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, r)
		text := answer.Body.String()
		text = strings.Replace(text, `"items":[{`, `"items":[`+items+`,{`, 1)
		text = strings.Replace(text, `"events":[{`, `"events":[`+strings.Join(events, ",")+`,{`, 1)
		w.WriteHeader(answer.Code)
		_, _ = w.Write([]byte(text))
	})
}

// TestOddEntries guards against instances that do not start, or follow the upstreams no more, since a stranger wrote
// odd entries among theirs: good ones that are added, changed and removed are in force at all instances, also at one
// that has its state from a peer, and the odd ones are logged within bounds.
func TestOddEntries(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.configure(reads)
	first := c.worker("list", "one-a", nil)
	store := httptest.NewServer(withOddObjects(c.api.Config.Handler))
	t.Cleanup(func() { c.closeAfterStop(store) })
	address := strings.TrimPrefix(store.URL, "http://")
	a := c.startWith("a", "one-a", address, nil)
	seeds := []string{fmt.Sprintf("%s:%d", a.ip, controlPort)}
	members := []*member{a, c.startWith("b", "one-a", address, seeds), c.startWith("c", "one-b", address, seeds)}
	for _, m := range members {
		c.ready(m, 1)
	}
	second := c.worker("list", "one-a", nil)
	for _, m := range members {
		c.ready(m, 2)
	}
	c.register(first, "list", "one-a", "draining")
	for _, m := range members {
		c.await("an upstream that drains", func() bool { return len(m.instance.planner.View().Service("list")) == 1 })
	}
	c.remove(platform.KindUpstreams + "/" + second.ID())
	for _, m := range members {
		c.ready(m, 1)
		lines := strings.Count(m.logs.String(), "names no upstream")
		if lines == 0 || lines > 3*maxEntryLines || len(m.logs.String()) > 1<<20 {
			t.Errorf("%d lines about odd entries, %d bytes of log", lines, len(m.logs.String()))
		}
	}
	// An instance that starts later.
	late := c.startWith("d", "one-b", address, seeds)
	c.ready(late, 1)
}

// TestManyOddEntries guards against instances that a stranger with many entries slows down: of ten thousand odd ones, each
// instance still has a change of a good one in force within the bound, and logs a bounded number of lines.
func TestManyOddEntries(t *testing.T) {
	const odd, good = 10_000, 10
	c := newCluster(t)
	c.configure(reads)
	for i := range odd {
		c.put(fmt.Sprintf("%s/odd-%d", platform.KindUpstreams, i), []byte(`{"address":"127.0.0.1:0"}`))
	}
	var first *standin.Worker
	for i := range good {
		if w := c.worker("list", "one-a", nil); i == 0 {
			first = w
		}
	}
	members := []*member{c.start("a", "one-a"), c.start("b", "one-a"), c.start("c", "one-b")}
	for _, m := range members {
		c.ready(m, good)
	}
	begun := time.Now()
	c.register(first, "list", "one-a", "draining")
	for _, m := range members {
		c.await("an upstream that drains", func() bool { return len(m.instance.planner.View().Service("list")) == good-1 })
	}
	if took := time.Since(begun); took > inForce {
		t.Errorf("a change is in force after %s, want at most %s", took, inForce)
	}
	for _, m := range members {
		if lines := strings.Count(m.logs.String(), "names no upstream"); lines == 0 || lines > 10*maxEntryLines {
			t.Errorf("%d lines about odd entries", lines)
		}
	}
}

// FuzzReadState checks that no state from a peer ends the process, whatever its objects hold.
func FuzzReadState(f *testing.F) {
	var m stateMessage
	for _, kind := range kinds() {
		k := kindMessage{Kind: kind, Cursor: 9, Newest: 7, Full: true, RetentionMillis: 5}
		for i, odd := range []string{"", "null", "{", strings.Repeat("[", 100), `{"address":"127.0.0.1:0"}`, "\xff\x00"} {
			k.Objects = append(k.Objects, objectMessage{Key: fmt.Sprintf("%s/odd-%d", kind, i), Version: uint64(i), Value: []byte(odd), Deleted: i == 0})
		}
		k.Objects = append(k.Objects, objectMessage{Key: kind, Version: 1<<64 - 1}, objectMessage{})
		m.Kinds = append(m.Kinds, k)
	}
	plain, err := cbor.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	compressed, err := compress(plain)
	if err != nil {
		f.Fatal(err)
	}
	for _, data := range [][]byte{plain, compressed, plain[:len(plain)/2], compressed[:len(compressed)/2], {0x1f, 0x8b}, {}} {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := readState(bytes.NewReader(data))
		if err != nil {
			return
		}
		mirrors := make(map[string]*mirror.Mirror)
		for _, kind := range kinds() {
			mirrors[kind] = newMirror(kind, time.Second)
		}
		for _, era := range []uint64{0, 2, 2, 3, 1} {
			for i := range s.Kinds {
				if m, ok := mirrors[s.Kinds[i].Kind]; ok {
					m.Merge(decodeKind(&s.Kinds[i], era), mirror.Origin{Source: mirror.FromPeer, At: time.Now()})
					_ = m.Digest()
				}
			}
		}
	})
}
