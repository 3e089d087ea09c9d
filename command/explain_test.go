package command

import (
	"bytes"
	"strings"
	"testing"

	"hickorydrum/fault"
)

const explainLog = `front-1 {"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"revision in force","event":300,"version":7}
front-1 {"time":"2026-01-01T00:00:02Z","level":"WARN","msg":"platform watch failed","event":302}
front-2 {"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"instance joined","event":202}
front-1 {"time":"2026-01-01T00:00:03Z","level":"WARN","msg":"request not answered","event":502,"id":"abc","outcome":"refused","status":503,"took_ms":2,"sends":1,"reason":"no-time","expected_ms":900,"limit_ms":800,"route":"r-1","version":7,"service":"list","upstream":"i-1","domain":"a-1","detail":"no upstream can serve it: no-time"}
front-1 {"time":"2026-01-01T00:00:04Z","level":"INFO","msg":"lines about requests left out","event":503,"count":12}
not a line of JSON {
front-2 {"time":"2026-01-01T00:00:05Z","level":"INFO","msg":"request answered","event":501,"id":"abc","outcome":"answered","status":200,"took_ms":90,"sends":1,"reason":"home","expected_ms":80,"limit_ms":500}
`

// TestExplain checks the history of a request whose log lines come from two instances, with
// the lines about the configuration of the instance that refused it and of no other.
func TestExplain(t *testing.T) {
	var out bytes.Buffer
	if err := explain(printer{out: &out, err: &out}, []string{"abc"}, strings.NewReader(explainLog)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"refused, status 503 after 2 ms of 800", "cause: no upstream can serve it: no-time", "configuration version 7",
		"last upstream: i-1 in a-1; sent to 1", "platform watch failed", "answered, status 200", "12 lines about requests were left out",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
	refusal, _, _ := strings.Cut(out.String(), "answered, status 200")
	if strings.Contains(refusal, "instance joined") {
		t.Errorf("a line of another instance is in the history of the refusal:\n%s", out.String())
	}
}

// TestExplainFaults checks the fault for invalid arguments and logs, and that each one says
// what to do.
func TestExplainFaults(t *testing.T) {
	tests := map[string]struct {
		args []string
		log  string
		kind fault.Kind
	}{
		"no id":           {nil, explainLog, fault.Invalid},
		"unknown request": {[]string{"xyz"}, explainLog, fault.Missing},
		"no JSON at all":  {[]string{"abc"}, "hello\n", fault.Missing},
		"an endless line": {[]string{"abc"}, strings.Repeat("x", 2<<20), fault.Invalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := explain(printer{out: &out, err: &out}, test.args, strings.NewReader(test.log))
			if fault.KindOf(err) != test.kind || fault.From(err).Remedy() == "" {
				t.Errorf("got %v", err)
			}
		})
	}
}
