package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"hickorydrum/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const echoCall Call = "echo"

type echoMessage struct {
	Text string `cbor:"1,keyasint"`
}

// newAuthority returns a new CA.
func newAuthority(t *testing.T) KeyPair {
	t.Helper()
	pair, err := NewAuthority("test", time.Now(), time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

// newKeys returns keys whose certificate has the name and is signed by the
// authority, the only one that they trust.
func newKeys(t *testing.T, authority KeyPair, name string) *Keys {
	t.Helper()
	pair, err := authority.Certify(name, time.Now(), time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	keys, err := NewKeys(string(authority.Cert()), string(pair.Cert()), string(pair.Key()))
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// newNode returns a node that serves the echo call and those that prepare adds.
func newNode(t *testing.T, keys *Keys, prepare ...func(n *Node)) *Node {
	t.Helper()
	n, err := Listen("127.0.0.1:0", keys)
	if err != nil {
		t.Fatal(err)
	}
	n.Handle(echoCall, Unary(func(_ context.Context, peer string, req echoMessage) (echoMessage, error) {
		if req.Text == "fail" {
			return echoMessage{}, fault.New(fault.Overloaded, "full", "wait", fault.WithRetryAt(time.Now().Add(time.Second)))
		}
		return echoMessage{Text: peer + ":" + req.Text}, nil
	}))
	for _, f := range prepare {
		f(n)
	}
	n.Serve()
	t.Cleanup(func() { _ = n.Close() })
	return n
}

// ask makes a unary call with a text and returns the text of the response.
func ask(t *testing.T, from *Node, to Target, call Call, text string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var resp echoMessage
	err := from.Ask(ctx, to, call, echoMessage{Text: text}, &resp)
	return resp.Text, err
}

func TestAsk(t *testing.T) {
	authority := newAuthority(t)
	untrusted := newAuthority(t)
	server := newNode(t, newKeys(t, authority, "server"))
	client := newNode(t, newKeys(t, authority, "client"))
	foreign := newNode(t, newKeys(t, untrusted, "client"))
	address := server.Addr().String()
	tests := map[string]struct {
		from *Node
		to   Target
		call Call
		text string
		want string
		kind fault.Kind
	}{
		"answered":               {client, NewTarget("server", address), echoCall, "hi", "client:hi", ""},
		"any name":               {client, NewTarget("", address), echoCall, "hi", "client:hi", ""},
		"fault passed on":        {client, NewTarget("server", address), echoCall, "fail", "", fault.Overloaded},
		"unknown call":           {client, NewTarget("server", address), "no-such-call", "hi", "", fault.Missing},
		"another name":           {client, NewTarget("other", address), echoCall, "hi", "", fault.Unavailable},
		"stranger's certificate": {foreign, NewTarget("", address), echoCall, "hi", "", fault.Unavailable},
		"nobody listens":         {client, NewTarget("server", "127.0.0.1:9"), echoCall, "hi", "", fault.Unavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ask(t, test.from, test.to, test.call, test.text)
			if diff := cmp.Diff([]any{test.want, test.kind}, []any{got, fault.KindOf(err)}); diff != "" {
				t.Errorf("%s\n%v", diff, err)
			}
		})
	}
}

// TestRotation replaces the CA and the certificates of two nodes without a restart,
// one node after the other: first they trust both CAs, then they get certificates
// of the new one, then they trust the new one only. Calls must work after each step.
func TestRotation(t *testing.T) {
	old, next := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	write := func(trusted []byte, signer KeyPair, name string) {
		t.Helper()
		pair, err := signer.Certify(name, time.Now(), time.Now().Add(time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		trust := KeyPair{cert: trusted}
		if err := errors.Join(trust.WriteFiles(file(name+"-ca"), file("none")), pair.WriteFiles(file(name+"-cert"), file(name+"-key"))); err != nil {
			t.Fatal(err)
		}
	}
	both := append(append([]byte(nil), old.Cert()...), next.Cert()...)
	nodes := make(map[string]*Node)
	keys := make(map[string]*Keys)
	for _, name := range []string{"a", "b"} {
		write(old.Cert(), old, name)
		k, err := NewKeys(file(name+"-ca"), file(name+"-cert"), file(name+"-key"))
		if err != nil {
			t.Fatal(err)
		}
		keys[name], nodes[name] = k, newNode(t, k)
	}
	check := func(step string) {
		t.Helper()
		to := NewTarget("b", nodes["b"].Addr().String())
		nodes["a"].Redial(to)
		if got, err := ask(t, nodes["a"], to, echoCall, step); got != "a:"+step {
			t.Errorf("%s: got %q, %v", step, got, err)
		}
	}
	check("old")
	steps := []struct {
		name    string
		trusted []byte
		signer  KeyPair
	}{{"both trusted", both, old}, {"new certificates", both, next}, {"old dropped", next.Cert(), next}}
	for _, step := range steps {
		for _, name := range []string{"a", "b"} {
			write(step.trusted, step.signer, name)
			if err := keys[name].Reload(); err != nil {
				t.Fatal(err)
			}
			check(step.name + " at " + name)
		}
	}
}

// TestGarbage sends bytes that are no valid message, and checks that they get no
// response and that the node still serves the next call.
func TestGarbage(t *testing.T) {
	authority := newAuthority(t)
	server := newNode(t, newKeys(t, authority, "server"))
	client := newNode(t, newKeys(t, authority, "client"))
	to := NewTarget("server", server.Addr().String())
	tests := map[string][]byte{
		"not CBOR":        {byte(FrameMessage), 0, 0, 0, 3, 0xff, 0xff, 0xff},
		"oversized":       {byte(FrameMessage), 0xff, 0xff, 0xff, 0xff},
		"oversized data":  {byte(FrameData), 0, 0xff, 0xff, 0xff},
		"wrong frame":     {byte(FrameEnd), 0, 0, 0, 0},
		"cut in a header": {byte(FrameMessage), 0},
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			s, err := client.Open(ctx, to, echoCall)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Abort()
			if _, err := s.raw.Write(data); err != nil {
				t.Fatal(err)
			}
			s.Close()
			var resp echoMessage
			if err := s.Receive(FrameMessage, &resp); err == nil {
				t.Error("invalid bytes got the response of a valid message")
			}
			if got, err := ask(t, client, to, echoCall, "after"); got != "client:after" {
				t.Errorf("after invalid bytes the next call got %q, %v", got, err)
			}
		})
	}
}

// TestBodyCutShort checks that the reader of a body gets an error if the stream ends
// without an end frame, in whichever way it ends.
func TestBodyCutShort(t *testing.T) {
	authority := newAuthority(t)
	results, begun := make(chan error, 1), make(chan struct{}, 1)
	server := newNode(t, newKeys(t, authority, "server"), func(n *Node) {
		n.Handle("body", func(_ context.Context, s *Stream) error {
			body := NewBody(s)
			_, err := io.ReadFull(body, make([]byte, 1))
			begun <- struct{}{}
			if err == nil {
				_, err = io.Copy(io.Discard, body)
			}
			results <- err
			return nil
		})
	})
	client := newNode(t, newKeys(t, authority, "client"))
	tests := map[string]struct {
		end   func(s *Stream)
		whole bool
	}{
		"ended":   {func(s *Stream) { _ = s.SendEnd(); s.Close() }, true},
		"closed":  {func(s *Stream) { s.Close() }, false},
		"aborted": {func(s *Stream) { s.Abort() }, false},
		"failed":  {func(s *Stream) { _ = s.SendFault(io.ErrUnexpectedEOF) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := client.Open(t.Context(), NewTarget("server", server.Addr().String()), "body")
			if err != nil {
				t.Fatal(err)
			}
			if err := s.SendData(make([]byte, 3*MaxData/2)); err != nil {
				t.Fatal(err)
			}
			<-begun // an earlier abort would discard the data
			test.end(s)
			defer s.Abort()
			if err := <-results; (err == nil) != test.whole {
				t.Errorf("reading the body gave %v", err)
			}
		})
	}
}

// TestLongCall checks that a call is not lost when its handler sends nothing for
// longer than the idle timeout.
func TestLongCall(t *testing.T) {
	authority := newAuthority(t)
	server := newNode(t, newKeys(t, authority, "server"), func(n *Node) {
		n.Handle("long", Unary(func(_ context.Context, _ string, req echoMessage) (echoMessage, error) {
			time.Sleep(idleTimeout + time.Second)
			return req, nil
		}))
	})
	client := newNode(t, newKeys(t, authority, "client"))
	if got, err := ask(t, client, NewTarget("server", server.Addr().String()), "long", "x"); got != "x" {
		t.Errorf("got %q, %v", got, err)
	}
}

// TestCallEnds guards against calls that go on when their end is certain: the peer that works on
// the call closes its node, or the context of the call is cancelled. Either way the call may have
// been executed.
func TestCallEnds(t *testing.T) {
	tests := map[string]func(server *Node, cancel context.CancelFunc) error{
		"the peer closes":  func(server *Node, _ context.CancelFunc) error { return server.Close() },
		"the call is over": func(_ *Node, cancel context.CancelFunc) error { cancel(); return nil },
	}
	authority := newAuthority(t)
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			began := make(chan struct{})
			server := newNode(t, newKeys(t, authority, "server"), func(n *Node) {
				n.Handle("long", Unary(func(ctx context.Context, _ string, req echoMessage) (echoMessage, error) {
					close(began)
					<-ctx.Done()
					time.Sleep(100 * time.Millisecond) // the end comes before the response
					return req, nil
				}))
			})
			client := newNode(t, newKeys(t, authority, "client"))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var group errgroup.Group
			var ended time.Time
			group.Go(func() error {
				<-began
				ended = time.Now()
				return end(server, cancel)
			})
			var resp echoMessage
			err := client.Ask(ctx, NewTarget("server", server.Addr().String()), "long", echoMessage{Text: "x"}, &resp)
			returned := time.Now()
			if kind := fault.KindOf(err); kind != fault.Unavailable || fault.From(err).Execution() != fault.MaybeExecuted {
				t.Errorf("the call ended with: %v", err)
			}
			if err := group.Wait(); err != nil || returned.Sub(ended) > time.Second {
				t.Errorf("the call ended %s late, error of the end: %v", returned.Sub(ended), err)
			}
		})
	}
}

func TestListenFaults(t *testing.T) {
	keys := newKeys(t, newAuthority(t), "a")
	taken, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	tests := map[string]struct {
		address string
		kind    fault.Kind
	}{
		"no address": {"nowhere", fault.Invalid},
		"taken":      {taken.LocalAddr().String(), fault.Unavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := Listen(test.address, keys); fault.KindOf(err) != test.kind {
				t.Errorf("got %v, want a fault of kind %s", err, test.kind)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	good, err := Encode(fault.Wire{Kind: fault.Overloaded, Execution: fault.NotExecuted, Text: "x", RetryIn: 5})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var w fault.Wire
		if Decode(data, &w) != nil {
			return
		}
		if x := w.Err(time.Now()).Execution(); x != fault.NotExecuted && x != fault.Executed && x != fault.MaybeExecuted {
			t.Errorf("a message was decoded to the unknown execution %q", x)
		}
	})
}
