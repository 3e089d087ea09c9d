package server

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
)

// testWait is how long tests wait for what must happen.
const testWait = 10 * time.Second

// pipelined is a handler that allows requests below /read/ to run before their turn. It records what runs.
type pipelined struct {
	serve func(w http.ResponseWriter, r *http.Request)

	mu     sync.Mutex
	events []string // "begin PATH", "end PATH" and "cancelled PATH"
	notify chan struct{}
}

func newPipelined(serve func(w http.ResponseWriter, r *http.Request)) *pipelined {
	return &pipelined{serve: serve, notify: make(chan struct{})}
}

func (h *pipelined) RunsAhead(_, target string) bool { return strings.HasPrefix(target, "/read/") }

func (h *pipelined) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.record("begin " + r.URL.Path)
	defer func() {
		what := "end "
		if r.Context().Err() != nil {
			what = "cancelled "
		}
		h.record(what + r.URL.Path)
	}()
	h.serve(w, r)
}

func (h *pipelined) record(event string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event)
	close(h.notify)
	h.notify = make(chan struct{})
}

// recorded returns the events so far, and a channel that is closed at the next one.
func (h *pipelined) recorded() ([]string, chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events), h.notify
}

// has reports whether the events have happened.
func (h *pipelined) has(events ...string) bool {
	got, _ := h.recorded()
	return !slices.ContainsFunc(events, func(e string) bool { return !slices.Contains(got, e) })
}

// await waits until the events have happened. It reports false if they do not within testWait.
func (h *pipelined) await(events ...string) bool {
	late := time.After(testWait)
	for {
		got, changed := h.recorded()
		if !slices.ContainsFunc(events, func(e string) bool { return !slices.Contains(got, e) }) {
			return true
		}
		select {
		case <-changed:
		case <-late:
			return false
		}
	}
}

// mustAwait waits until the events have happened, and fails the test otherwise.
func (h *pipelined) mustAwait(t *testing.T, events ...string) {
	t.Helper()
	if !h.await(events...) {
		got, _ := h.recorded()
		t.Fatalf("events %q, want %q among them", got, events)
	}
}

// serveHandler starts a server with the handler.
func serveHandler(t *testing.T, handler http.Handler) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(listener, handler, slog.New(slog.DiscardHandler))
	var group errgroup.Group
	group.Go(func() error {
		s.Serve()
		return nil
	})
	t.Cleanup(func() {
		_ = s.Close()
		_ = group.Wait()
	})
	return s
}

// dial opens a connection to a server.
func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	if err := client.SetDeadline(time.Now().Add(testWait)); err != nil {
		t.Fatal(err)
	}
	return client
}

func send(t *testing.T, client net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(client, text); err != nil {
		t.Fatal(err)
	}
}

// get returns a request for a path.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// response is a response as the caller reads it.
type response struct {
	Status int
	Body   string
	Closes bool
}

// readResponses reads responses until the connection ends, or as many as given if that is not negative. cut says
// that the last one is not whole, or that the connection was reset.
func readResponses(r *bufio.Reader, count int) (out []response, cut bool) {
	for ; count != 0; count-- {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return out, err != io.ErrUnexpectedEOF && err != io.EOF
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return out, true
		}
		out = append(out, response{Status: resp.StatusCode, Body: string(body), Closes: resp.Close})
	}
	return out, false
}

// echoPath responds with the path.
func echoPath(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }

// echoed returns the responses of echoPath.
func echoed(paths ...string) []response {
	var out []response
	for _, p := range paths {
		out = append(out, response{Status: http.StatusOK, Body: p})
	}
	return out
}

// TestPipelineConcurrent guards against idempotent requests of a connection that run one after another, however
// their bytes arrive, and against responses out of order.
func TestPipelineConcurrent(t *testing.T) {
	paths := []string{"/read/1", "/read/2", "/read/3"}
	all := get(paths[0]) + get(paths[1]) + get(paths[2])
	tests := map[string]func(t *testing.T, client net.Conn, h *pipelined){
		"at once": func(t *testing.T, client net.Conn, _ *pipelined) { send(t, client, all) },
		"byte by byte": func(t *testing.T, client net.Conn, _ *pipelined) {
			for i := range all {
				send(t, client, all[i:i+1])
				time.Sleep(100 * time.Microsecond) // so that they arrive apart
			}
		},
		"after the first has begun": func(t *testing.T, client net.Conn, h *pipelined) {
			send(t, client, get(paths[0]))
			h.mustAwait(t, "begin /read/1")
			send(t, client, get(paths[1])+get(paths[2]))
		},
		"the first with a part of the second": func(t *testing.T, client net.Conn, h *pipelined) {
			cut := len(get(paths[0])) + 7
			send(t, client, all[:cut])
			h.mustAwait(t, "begin /read/1")
			send(t, client, all[cut:])
		},
		"behind a request with a body": func(t *testing.T, client net.Conn, _ *pipelined) {
			send(t, client, "POST /order/0 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"+all)
		},
		"behind a request with a large body": func(t *testing.T, client net.Conn, _ *pipelined) {
			send(t, client, "POST /order/0 HTTP/1.1\r\nHost: h\r\nContent-Length: 600000\r\n\r\n"+strings.Repeat("x", 600000)+all)
		},
		"with a long head": func(t *testing.T, client net.Conn, _ *pipelined) {
			long := strings.Replace(get(paths[0]), "\r\n\r\n", "\r\nX: "+strings.Repeat("x", 9000)+"\r\n\r\n", 1)
			send(t, client, long+get(paths[1])+get(paths[2]))
		},
	}
	for name, sendAll := range tests {
		t.Run(name, func(t *testing.T) {
			var h *pipelined
			h = newPipelined(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/order/") {
					_, _ = io.Copy(io.Discard, r.Body)
				} else if !h.await("begin /read/1", "begin /read/2", "begin /read/3") {
					w.WriteHeader(http.StatusGatewayTimeout)
				}
				echoPath(w, r)
			})
			s := serveHandler(t, h)
			client := dial(t, s)
			sendAll(t, client, h)
			want := echoed(paths...)
			if strings.Contains(name, "body") {
				want = append(echoed("/order/0"), want...)
			}
			got, _ := readResponses(bufio.NewReader(client), len(want))
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
			awaitCounts(t, s, Counts{Idle: 1})
		})
	}
}

// dates matches what differs between two runs of a stream of requests.
var dates = regexp.MustCompile(`Date: [^\r]*\r\n`)

// TestPipelineSameResponses guards against a stream of requests that gets other responses with a handler that allows
// requests to run before their turn than without one, and against requests that run before or beside one that must wait.
func TestPipelineSameResponses(t *testing.T) {
	reads := get("/read/7") + get("/read/8") + get("/read/9")
	order := "POST /order/5 HTTP/1.1\r\nHost: h\r\n"
	tests := map[string]string{
		"reads":                          reads,
		"an order first":                 get("/order/1") + reads,
		"an order between":               get("/read/1") + get("/order/2") + reads,
		"an order last":                  reads + get("/order/1"),
		"orders":                         get("/order/1") + get("/order/2"),
		"a body first":                   order + "Content-Length: 3\r\n\r\nabc" + reads,
		"a body between":                 reads + order + "Content-Length: 3\r\n\r\nabc" + reads,
		"a body of a read":               reads + "GET /read/0 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + reads,
		"a body that stays unread":       reads + "GET /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + reads,
		"a large body that stays unread": reads + "GET /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 600000\r\n\r\n" + strings.Repeat("x", 600000) + reads,
		"a large body":                   reads + order + "Content-Length: 600000\r\n\r\n" + strings.Repeat("x", 600000) + reads,
		"a body that is a request":       reads + order + "Content-Length: " + strconv.Itoa(len(reads)) + "\r\n\r\n" + reads + reads,
		"an empty body":                  reads + order + "Content-Length: 0\r\n\r\n" + reads,
		"a body in chunks":               reads + order + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + reads,
		"both lengths":                   reads + order + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + reads,
		"two lengths":                    reads + order + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc" + reads,
		"two lengths that differ":        reads + order + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc" + reads,
		"a length that is no number":     reads + order + "Content-Length: +3\r\n\r\nabc" + reads,
		"a length after many zeros":      reads + order + "Content-Length: " + strings.Repeat("0", 80) + "3\r\n\r\nabc" + reads,
		"a space before the colon":       reads + order + "Content-Length : 3\r\n\r\nabc" + reads,
		"a continued line":               reads + "GET /read/1 HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n" + reads,
		"bare line feeds":                reads + "GET /read/1 HTTP/1.1\nHost: h\n\n" + reads,
		"a carriage return in a line":    reads + "GET /read/1 HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n" + reads,
		"an empty line before a request": get("/read/1") + "\r\n" + reads,
		"an empty line after a body":     order + "Content-Length: 3\r\n\r\nabc\r\n" + reads,
		"malformed":                      get("/read/1") + "malformed\r\n\r\n" + reads,
		"malformed first":                "malformed\r\n\r\n" + reads,
		"a header without a colon":       get("/read/1") + "GET /read/2 HTTP/1.1\r\nHost: h\r\nX\r\n\r\n" + reads,
		"a header name with a space":     get("/read/1") + "GET /read/2 HTTP/1.1\r\nHost: h\r\nX Y: z\r\n\r\n" + reads,
		"a header value with a zero":     get("/read/1") + "GET /read/2 HTTP/1.1\r\nHost: h\r\nX: \x00\r\n\r\n" + reads,
		"no host":                        get("/read/1") + "GET /read/2 HTTP/1.1\r\n\r\n" + reads,
		"two hosts":                      get("/read/1") + "GET /read/2 HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n" + reads,
		"a malformed host":               get("/read/1") + "GET /read/2 HTTP/1.1\r\nHost: h h\r\n\r\n" + reads,
		"HTTP/1.0":                       get("/read/1") + "GET /read/2 HTTP/1.0\r\nHost: h\r\n\r\n" + reads,
		"HTTP/1.0, kept":                 get("/read/1") + "GET /read/2 HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n" + reads,
		"HTTP/2.0":                       get("/read/1") + "GET /read/2 HTTP/2.0\r\nHost: h\r\n\r\n" + reads,
		"the preface of HTTP/2":          get("/read/1") + "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + reads,
		"the caller closes":              get("/read/1") + "GET /read/2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + reads,
		"the caller closes first":        "GET /read/2 HTTP/1.1\r\nHost: h\r\nConnection: x, close\r\n\r\n" + reads,
		"the caller keeps":               "GET /read/2 HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n" + reads,
		"an expectation without a body":  get("/read/1") + "GET /read/2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n" + reads,
		"an expectation with a body":     get("/read/1") + order + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + reads,
		"an expectation, body unread":    get("/read/1") + "POST /unread HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + reads,
		"another expectation":            get("/read/1") + "GET /read/2 HTTP/1.1\r\nHost: h\r\nExpect: x\r\n\r\n" + reads,
		"options":                        get("/read/1") + "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n" + reads,
		"options first":                  "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n" + reads,
		"an absolute target":             get("/read/1") + "GET http://h/read/2 HTTP/1.1\r\nHost: h\r\n\r\n" + reads,
		"a malformed target":             get("/read/1") + "GET /read/%zz HTTP/1.1\r\nHost: h\r\n\r\n" + reads,
		"heads of responses only":        strings.ReplaceAll(reads, "GET", "HEAD"),
		"a long head between":            get("/read/1") + "GET /read/2 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n" + reads,
		"a head over the limit":          get("/read/1") + "GET /read/2 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n",
		"more heads than are read ahead": strings.Repeat("GET /read/2 HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 9000)+"\r\n\r\n", 20),
		"many":                           strings.Repeat(get("/read/2"), 100),
		"upgrade":                        get("/read/1") + "GET /read/2 HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + reads,
	}
	for name, stream := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plain, ahead := newPipelined(respondByPath), newPipelined(respondByPath)
			want := transcript(t, serveHandler(t, http.HandlerFunc(plain.ServeHTTP)), stream)
			got := transcript(t, serveHandler(t, ahead), stream)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
			ran, _ := ahead.recorded()
			wantRan, _ := plain.recorded()
			slices.Sort(wantRan)
			sorted := slices.Clone(ran)
			slices.Sort(sorted)
			if diff := cmp.Diff(wantRan, sorted); diff != "" {
				t.Errorf("what ran: %s", diff)
			}
			checkAlone(t, ran)
		})
	}
}

// TestPipelineSameParts guards against a response that loses a part since it was written before its turn: headers,
// trailers, statuses. The chunks of a response may be others, and informational ones are dropped.
func TestPipelineSameParts(t *testing.T) {
	var stream string
	for _, path := range []string{"1", "header", "trailer", "404", "204", "304", "nothing", "flush", "early", "large"} {
		stream += get("/read/" + path)
	}
	read := func(handler http.Handler) (out []string) {
		reader := bufio.NewReader(strings.NewReader(transcript(t, serveHandler(t, handler), stream)))
		for {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return out
			}
			body, err := io.ReadAll(resp.Body)
			if resp.StatusCode < http.StatusOK {
				continue
			}
			out = append(out, fmt.Sprint(resp.Status, resp.Header, resp.ContentLength, string(body), err, resp.Trailer))
		}
	}
	want := read(http.HandlerFunc(respondByPath))
	if diff := cmp.Diff(want, read(newPipelined(respondByPath))); diff != "" || len(want) != 10 {
		t.Errorf("%d responses: %s", len(want), diff)
	}
}

// checkAlone fails the test if anything ran while a request ran that is not below /read/.
func checkAlone(t *testing.T, events []string) {
	t.Helper()
	running, alone := 0, 0
	for _, e := range events {
		path, begins := strings.CutPrefix(e, "begin ")
		change, single := -1, !strings.HasPrefix(strings.Fields(e)[1], "/read/")
		if begins {
			change, single = 1, !strings.HasPrefix(path, "/read/")
		}
		running += change
		if single {
			alone += change
		}
		if alone > 0 && running > 1 {
			t.Errorf("at %q another request ran: %q", e, events)
			return
		}
	}
}

// respondByPath responds as the path says.
func respondByPath(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	switch r.URL.Path {
	case "/unread":
		echoPath(w, r)
	case "/read/header":
		header.Set("X", "1")
		header.Set("Content-Length", "2")
		w.WriteHeader(http.StatusCreated)
		header.Set("X", "2")
		_, _ = io.WriteString(w, "ok")
	case "/read/trailer":
		header.Set("Trailer", "X")
		_, _ = io.WriteString(w, strings.Repeat("x", 5000))
		header.Set("X", "1")
		header.Set(http.TrailerPrefix+"Y", "2")
	case "/read/404", "/read/204", "/read/304":
		status, _ := strconv.Atoi(r.URL.Path[len("/read/"):])
		w.WriteHeader(status)
	case "/read/nothing":
		header.Set("X", "1")
	case "/read/early":
		w.WriteHeader(http.StatusEarlyHints)
		w.WriteHeader(http.StatusAccepted)
		w.WriteHeader(http.StatusOK) // too late
		echoPath(w, r)
	case "/read/large":
		for range 100 {
			_, _ = w.Write(make([]byte, 10_000)) // more than is kept
		}
	case "/read/flush":
		_, _ = io.WriteString(w, "a")
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "b")
	default:
		_, _ = io.Copy(io.Discard, r.Body)
		echoPath(w, r)
	}
}

// transcript sends a stream of requests on one connection and returns what the server sends, without dates. It closes
// its side only after the server has answered all, or has closed.
func transcript(t *testing.T, s *Server, stream string) string {
	t.Helper()
	client := dial(t, s)
	var group errgroup.Group
	group.Go(func() error {
		_, _ = io.WriteString(client, stream) // the server may have closed the connection
		return nil
	})
	var out strings.Builder
	buffer := make([]byte, 4096)
	for {
		_ = client.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		n, err := client.Read(buffer)
		out.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	_ = client.Close()
	_ = group.Wait()
	awaitCounts(t, s, Counts{})
	return dates.ReplaceAllString(out.String(), "")
}

// TestPipelineBounds guards against more requests of a connection that run than the bound, and against one that is
// lost since it arrived beyond it.
func TestPipelineBounds(t *testing.T) {
	const requests = 3 * maxAhead
	release := make(chan struct{})
	h := newPipelined(func(w http.ResponseWriter, r *http.Request) {
		<-release
		echoPath(w, r)
	})
	client := dial(t, serveHandler(t, h))
	var paths, begun []string
	for i := range requests {
		paths = append(paths, fmt.Sprint("/read/", i))
		send(t, client, get(paths[i]))
		if i <= maxAhead {
			begun = append(begun, "begin "+paths[i])
		}
	}
	h.mustAwait(t, begun...)
	time.Sleep(50 * time.Millisecond) // for more to begin
	if got, _ := h.recorded(); len(got) != len(begun) {
		t.Errorf("%d requests run, want %d: %q", len(got), len(begun), got)
	}
	close(release)
	got, _ := readResponses(bufio.NewReader(client), requests)
	if diff := cmp.Diff(echoed(paths...), got); diff != "" {
		t.Error(diff)
	}
}

// TestPipelineClosingResponse guards against a request that was run and is not answered, since a response before it
// closes the connection, and against one that begins after that response.
func TestPipelineClosingResponse(t *testing.T) {
	for name, closing := range map[string]string{"the first": "/read/1", "the second": "/read/2", "the third": "/read/3"} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			h := newPipelined(func(w http.ResponseWriter, r *http.Request) {
				<-release
				if r.URL.Path == closing {
					w.Header().Set("Connection", "close")
				}
				echoPath(w, r)
			})
			client := dial(t, serveHandler(t, h))
			send(t, client, get("/read/1")+get("/read/2")+get("/read/3")+get("/order/4")+get("/read/5"))
			h.mustAwait(t, "begin /read/1", "begin /read/2", "begin /read/3")
			close(release)
			got, cut := readResponses(bufio.NewReader(client), -1)
			want := echoed("/read/1", "/read/2", "/read/3")
			want[2].Closes = true
			if diff := cmp.Diff(want, got); diff != "" || cut {
				t.Errorf("cut %v: %s", cut, diff)
			}
			if h.has("begin /order/4") || h.has("begin /read/5") {
				t.Error("a request behind the closing response was run")
			}
		})
	}
}

// TestPipelineBehindClosingHead guards against a request that begins though the head of a closing response was sent.
func TestPipelineBehindClosingHead(t *testing.T) {
	for name, before := range map[string]string{"alone": "", "behind another": get("/read/0")} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			h := newPipelined(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/read/1" {
					w.Header().Set("Connection", "close")
					_ = http.NewResponseController(w).Flush()
					<-release
				}
				echoPath(w, r)
			})
			s := serveHandler(t, h)
			client := dial(t, s)
			send(t, client, before+get("/read/1"))
			reader := bufio.NewReader(client)
			for {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				if resp.Close {
					break // the rest of it is not written
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			send(t, client, get("/read/2"))
			time.Sleep(50 * time.Millisecond) // for it to begin
			close(release)
			awaitCounts(t, s, Counts{})
			if h.has("begin /read/2") {
				t.Error("a request behind the closing response was run")
			}
		})
	}
}

// TestPipelineCallerLeaves guards against requests that run on though their caller has left, and against one that
// begins after that. Bytes are buffered when the caller leaves.
func TestPipelineCallerLeaves(t *testing.T) {
	reads := get("/read/1") + get("/read/2") + get("/read/3")
	three := []string{"/read/1", "/read/2", "/read/3"}
	leave := func(client net.Conn) { _ = client.Close() }
	tests := map[string]struct {
		sent    string
		running []string
		leave   func(client net.Conn)
	}{
		"three":                       {reads, three, leave},
		"reset":                       {reads, three, func(client net.Conn) { _ = client.(*net.TCPConn).SetLinger(0); _ = client.Close() }},
		"an order waits":              {reads + get("/order/4") + get("/read/5"), three, leave},
		"a part of a head":            {reads + "GET /re", three, leave},
		"behind an order":             {get("/order/1") + reads, []string{"/order/1"}, leave},
		"more than is read ahead":     {reads + get("/order/4") + strings.Repeat(get("/read/5"), maxAheadHeads/20), three, leave},
		"a body, more than is read":   {reads + "POST /order/4 HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 65536), three, leave},
		"exactly what is read ahead":  {get("/order/1") + strings.Repeat("x", maxAheadHeads), []string{"/order/1"}, leave},
		"one more than is read ahead": {get("/order/1") + strings.Repeat("x", maxAheadHeads+1), []string{"/order/1"}, leave},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newPipelined(func(_ http.ResponseWriter, r *http.Request) {
				select {
				case <-r.Context().Done():
				case <-time.After(testWait):
				}
			})
			s := serveHandler(t, h)
			client := dial(t, s)
			send(t, client, test.sent)
			var begun, cancelled []string
			for _, path := range test.running {
				begun = append(begun, "begin "+path)
				cancelled = append(cancelled, "cancelled "+path)
			}
			h.mustAwait(t, begun...)
			time.Sleep(20 * time.Millisecond) // for the rest to be read
			test.leave(client)
			h.mustAwait(t, cancelled...)
			awaitCounts(t, s, Counts{})
			if got, _ := h.recorded(); len(got) != 2*len(test.running) {
				t.Errorf("events %q, want only those of %q", got, test.running)
			}
		})
	}
}

// TestPipelineSlowFirst guards against a response that is changed, out of order, or without bound in memory while a
// slow one before it is awaited.
func TestPipelineSlowFirst(t *testing.T) {
	large := strings.Repeat("0123456789", maxAheadResponses/8)
	release := make(chan struct{})
	h := newPipelined(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/read/1":
			<-release
			echoPath(w, r)
		case "/read/2":
			for rest := large; rest != ""; rest = rest[min(1000, len(rest)):] {
				_, _ = io.WriteString(w, rest[:min(1000, len(rest))])
			}
		default:
			echoPath(w, r)
		}
	})
	s := serveHandler(t, h)
	client := dial(t, s)
	send(t, client, get("/read/1")+get("/read/2")+get("/read/3")+get("/read/4"))
	h.mustAwait(t, "begin /read/2", "begin /read/3")
	time.Sleep(50 * time.Millisecond) // for the second to write what it can
	if h.has("end /read/2") {
		t.Error("a response over the bound was kept")
	}
	for _, c := range s.all() {
		if c.pipeline.mu.Lock(); c.pipeline.buffered > maxAheadResponses {
			t.Errorf("%d bytes are kept", c.pipeline.buffered)
		}
		c.pipeline.mu.Unlock()
	}
	close(release)
	got, _ := readResponses(bufio.NewReader(client), 4)
	want := echoed("/read/1", large, "/read/3", "/read/4")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff[:min(len(diff), 1000)])
	}
	awaitCounts(t, s, Counts{Idle: 1})
	for _, c := range s.all() {
		if c.pipeline.mu.Lock(); c.pipeline.buffered != 0 || c.pipeline.in != nil {
			t.Errorf("%d bytes of responses and %d of requests are kept", c.pipeline.buffered, len(c.pipeline.in))
		}
		c.pipeline.mu.Unlock()
	}
}

// TestPipelineCut guards against a failure of one request that harms the responses before it or the process, and
// against requests behind it that run on.
func TestPipelineCut(t *testing.T) {
	tests := map[string]struct {
		fails   string // the path that fails
		failure any
		whole   []string
		partly  string // what the caller gets of the one that fails
	}{
		"the first is cut":           {fails: "/read/1", failure: http.ErrAbortHandler, partly: "part"},
		"the second is cut":          {fails: "/read/2", failure: http.ErrAbortHandler, whole: []string{"/read/1"}, partly: "part"},
		"the second panics":          {fails: "/read/2", failure: "a bug", whole: []string{"/read/1"}, partly: "part"},
		"the second writes nothing":  {fails: "/read/2", failure: http.ErrAbortHandler, whole: []string{"/read/1"}},
		"the third is cut":           {fails: "/read/3", failure: http.ErrAbortHandler, whole: []string{"/read/1", "/read/2"}, partly: "part"},
		"the first fails on its own": {fails: "/read/1", failure: nil, partly: "part"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var h *pipelined
			h = newPipelined(func(w http.ResponseWriter, r *http.Request) {
				h.await("begin /read/1", "begin /read/2", "begin /read/3", "begin /read/4")
				switch {
				case r.URL.Path == test.fails:
					if test.partly != "" {
						w.Header().Set("Content-Length", "1000")
						_, _ = io.WriteString(w, test.partly)
						_ = http.NewResponseController(w).Flush()
					}
					if test.failure != nil {
						panic(test.failure)
					}
				case r.URL.Path == "/read/4":
					<-r.Context().Done()
				default:
					echoPath(w, r)
				}
			})
			lost := metrics.GetOrCreateCounter(`hickorydrum_requests_lost_total{server="callers",reason="aborted"}`)
			before := lost.Get()
			s := serveHandler(t, h)
			client := dial(t, s)
			send(t, client, get("/read/1")+get("/read/2")+get("/read/3")+get("/read/4"))
			reader := bufio.NewReader(client)
			got, _ := readResponses(reader, len(test.whole))
			if diff := cmp.Diff(echoed(test.whole...), got); diff != "" {
				t.Error(diff)
			}
			rest, _ := io.ReadAll(reader)
			if test.partly == "" && len(rest) > 0 || !strings.HasSuffix(string(rest), test.partly) {
				t.Errorf("then %q", rest)
			}
			h.mustAwait(t, "cancelled /read/4")
			awaitCounts(t, s, Counts{})
			want := uint64(4 - len(test.whole))
			if test.failure == nil {
				want-- // the HTTP server cuts it
			}
			if n := lost.Get() - before; n != want {
				t.Errorf("%d requests count as lost, want %d", n, want)
			}
		})
	}
}

// TestPipelineStop guards against requests that a planned stop loses while several of one connection run, and against
// one that is read ahead after its begin.
func TestPipelineStop(t *testing.T) {
	release := make(chan struct{})
	h := newPipelined(func(w http.ResponseWriter, r *http.Request) {
		<-release
		echoPath(w, r)
	})
	s := serveHandler(t, h)
	client := dial(t, s)
	send(t, client, get("/read/1")+get("/read/2")+get("/read/3"))
	h.mustAwait(t, "begin /read/1", "begin /read/2", "begin /read/3")
	if err := s.StopAccepting(); err != nil {
		t.Fatal(err)
	}
	send(t, client, get("/read/4"))
	for range 20 {
		s.GiveUpIdle(time.Now())
		s.CloseIdle(time.Now().Add(time.Hour))
		time.Sleep(time.Millisecond)
	}
	close(release)
	got, cut := readResponses(bufio.NewReader(client), -1)
	want := echoed("/read/1", "/read/2", "/read/3")
	want[2].Closes = true
	if diff := cmp.Diff(want, got); diff != "" || cut {
		t.Errorf("cut %v: %s", cut, diff)
	}
	if h.has("begin /read/4") {
		t.Error("a request was begun during the stop")
	}
	awaitCounts(t, s, Counts{})
}

// TestPipelineServerClosed guards against a Close that leaves requests running, and against requests that it does
// not count as lost.
func TestPipelineServerClosed(t *testing.T) {
	h := newPipelined(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	s := serveHandler(t, h)
	client := dial(t, s)
	send(t, client, get("/read/1")+get("/read/2")+get("/read/3"))
	h.mustAwait(t, "begin /read/1", "begin /read/2", "begin /read/3")
	lost := metrics.GetOrCreateCounter(`hickorydrum_requests_lost_total{server="callers",reason="stopped"}`)
	before := lost.Get()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	h.mustAwait(t, "cancelled /read/1", "cancelled /read/2", "cancelled /read/3")
	if n := lost.Get() - before; n != 3 {
		t.Errorf("%d requests count as lost, want 3", n)
	}
}

// TestPipelineGiveUp guards against a connection that is given up as an idle one between two requests of which the
// second has run: what ran is always answered.
func TestPipelineGiveUp(t *testing.T) {
	const rounds = 300
	h := newPipelined(echoPath)
	s := serveHandler(t, h)
	stop := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		for {
			select {
			case <-stop:
				return nil
			default:
				s.GiveUpIdle(time.Now().Add(time.Second))
			}
		}
	})
	answered := make(map[string]bool)
	for i := range rounds {
		client := dial(t, s)
		var stream string
		for n := range 4 {
			stream += get(fmt.Sprintf("/read/%d-%d", i, n))
		}
		_, _ = io.WriteString(client, stream) // the connection may be given up before
		responses, _ := readResponses(bufio.NewReader(client), 4)
		for _, r := range responses {
			answered[r.Body] = true
		}
		_ = client.Close()
	}
	close(stop)
	_ = group.Wait()
	awaitCounts(t, s, Counts{})
	events, _ := h.recorded()
	for _, e := range events {
		if path, ok := strings.CutPrefix(e, "begin "); ok && !answered[path] {
			t.Errorf("%s was run and not answered", path)
		}
	}
	if len(answered) == 0 {
		t.Error("no request was answered")
	}
}

// TestPipelineIdleCost guards against memory that connections without pipelining keep for it.
func TestPipelineIdleCost(t *testing.T) {
	h := newPipelined(echoPath)
	s := serveHandler(t, h)
	client := dial(t, s)
	reader := bufio.NewReader(client)
	for range 3 {
		send(t, client, get("/read/1"))
		if got, _ := readResponses(reader, 1); !cmp.Equal(got, echoed("/read/1")) {
			t.Fatalf("got %+v", got)
		}
		awaitCounts(t, s, Counts{Idle: 1})
	}
	for _, c := range s.all() {
		p := c.pipeline
		if p.mu.Lock(); p.in != nil || p.cancel != nil || p.queue != nil {
			t.Errorf("%d bytes, context %v, requests %v", len(p.in), p.ctx, p.queue)
		}
		p.mu.Unlock()
	}
}

// BenchmarkRequest measures one request after another on a connection, by whether the handler is a Pipeliner.
func BenchmarkRequest(b *testing.B) {
	respond := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		_, _ = w.Write([]byte("ok"))
	}
	request := []byte("GET /read/1 HTTP/1.1\r\nHost: h.example\r\nHickorydrum-Attempt-Id: 0123456789\r\n" +
		"Hickorydrum-Deadline-Remaining: 900\r\nAccept-Encoding: identity\r\nCookie: Hickorydrum-Affinity-Key=1\r\n\r\n")
	for name, handler := range map[string]http.Handler{
		"plain": http.HandlerFunc(respond), "pipeliner": allowAll{http.HandlerFunc(respond)},
	} {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := New(listener, handler, slog.New(slog.DiscardHandler))
			var group errgroup.Group
			group.Go(func() error {
				s.Serve()
				return nil
			})
			client, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			response := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.Write(request); err != nil {
					b.Fatal(err)
				}
				if _, err := client.Read(response); err != nil {
					b.Fatal(err)
				}
			}
			_ = client.Close()
			_ = s.Close()
			_ = group.Wait()
		})
	}
}

// allowAll is a handler that allows all requests to run before their turn.
type allowAll struct{ http.Handler }

func (allowAll) RunsAhead(_, _ string) bool { return true }
