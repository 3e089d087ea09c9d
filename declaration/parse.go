package declaration

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"hickorydrum/fault"
)

// maxFileBytes limits the size of one declaration file.
const maxFileBytes = 64 << 20

// Problem is one error in the operators' files, with its location and a remedy.
type Problem struct {
	file   string
	line   int
	text   string
	remedy string
}

// Error returns the problem as "file:line: text; remedy".
func (p Problem) Error() string {
	s := p.text
	if p.remedy != "" {
		s += "; " + p.remedy
	}
	if p.file == "" {
		return s
	}
	return fmt.Sprintf("%s:%d: %s", p.file, p.line, s)
}

// File returns the name of the file with the problem.
func (p Problem) File() string { return p.file }

// Line returns the line, counted from 1.
func (p Problem) Line() int { return p.line }

// Problems is every problem found in a set of files.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks every .yaml and .yml file under dir. The error is of type
// Problems if the files could be read but are not valid.
func Load(dir string) (*Set, error) {
	paths, err := findFiles(dir)
	if err != nil {
		return nil, err
	}
	sources := make(map[string][]byte, len(paths))
	for _, path := range paths {
		data, err := readFile(path)
		if err != nil {
			return nil, err
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			name = path
		}
		sources[name] = data
	}
	return Parse(sources)
}

// findFiles returns the paths of the declaration files under dir. Without any it
// returns an error.
func findFiles(dir string) ([]string, error) {
	var paths []string
	err := filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if ext := filepath.Ext(path); !entry.IsDir() && (ext == ".yaml" || ext == ".yml") {
			paths = append(paths, path)
		}
		return nil
	})
	if err != nil {
		return nil, fault.New(fault.Missing, "the directory cannot be read",
			"name a directory that holds the .yaml files", fault.WithCause(err))
	}
	if len(paths) == 0 {
		return nil, fault.New(fault.Missing, fmt.Sprintf("no .yaml file under %q", dir),
			"name the directory that holds the declarations")
	}
	return paths, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFileBytes {
		return nil, fault.New(fault.Invalid, fmt.Sprintf("%s is larger than %d bytes", path, maxFileBytes),
			"split the file")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.Missing, "the file cannot be read", "check its permissions",
			fault.WithCause(err))
	}
	return data, nil
}

// Parse parses and checks the contents of files, keyed by file name. The error is of
// type Problems.
func Parse(sources map[string][]byte) (*Set, error) {
	names := make([]string, 0, len(sources))
	for name := range sources {
		names = append(names, name)
	}
	slices.Sort(names)
	var docs []document
	var problems Problems
	for _, name := range names {
		fileDocs, more := parseFile(name, sources[name])
		docs = append(docs, fileDocs...)
		problems = append(problems, more...)
	}
	set, more := compile(docs)
	problems = append(problems, more...)
	if len(problems) > 0 {
		return nil, problems
	}
	return set, nil
}

// FromRecords checks stored records and returns them as a set.
func FromRecords(records []Record) (*Set, error) {
	docs := make([]document, 0, len(records))
	for _, r := range records {
		doc, err := parseRecord(r)
		if err != nil {
			return nil, err
		}
		docs = append(docs, doc)
	}
	set, problems := compile(docs)
	if len(problems) > 0 {
		return nil, problems
	}
	return set, nil
}

// parseRecord decodes a record into a document without a location.
func parseRecord(r Record) (document, error) {
	body := newBody(r.Kind)
	if body == nil {
		return document{}, fault.New(fault.Invalid, fmt.Sprintf("record of unknown kind %q", r.Kind),
			"upgrade this instance")
	}
	if err := json.Unmarshal(r.Body, body); err != nil {
		return document{}, fault.New(fault.Invalid, fmt.Sprintf("record %s/%s is damaged", r.Kind, r.Name),
			"apply the files again", fault.WithCause(err))
	}
	return document{kind: r.Kind, body: body}, nil
}

// parseFile parses one file. The YAML library panics on some malformed input; the
// panic is reported as a problem of the file.
func parseFile(name string, data []byte) (docs []document, problems Problems) {
	defer func() {
		if p := recover(); p != nil {
			docs, problems = nil, Problems{yamlProblem(name, 1, fmt.Errorf("the YAML cannot be read: %v", p))}
		}
	}()
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Problems{yamlProblem(name, 1, err)}
	}
	for _, part := range file.Docs {
		if part.Body == nil || part.Body.Type() == ast.NullType || part.Body.Type() == ast.CommentType {
			continue
		}
		doc, problem := parseDocument(name, part.Body)
		if problem != nil {
			problems = append(problems, *problem)
			continue
		}
		docs = append(docs, doc)
	}
	return docs, problems
}

func parseDocument(name string, node ast.Node) (document, *Problem) {
	lines := make(map[string]int)
	collectLines(node, "", lines)
	at := location{file: name, lines: lines}
	if line := unsupportedNodeLine(node); line > 0 {
		return document{}, &Problem{
			file: name, line: line, text: "tags, anchors and aliases are not used in declarations",
			remedy: "write the value out",
		}
	}
	var head kindHeader
	if err := yaml.NodeToValue(node, &head); err != nil {
		problem := yamlProblem(name, at.line(""), err)
		return document{}, &problem
	}
	body := newBody(head.Kind)
	if body == nil {
		return document{}, &Problem{
			file: name, line: at.line("kind"),
			text:   fmt.Sprintf("kind %q is not known", head.Kind),
			remedy: "use region, service, cap, link, drain or block",
		}
	}
	if err := yaml.NodeToValue(node, body, yaml.Strict()); err != nil {
		problem := yamlProblem(name, at.line(""), err)
		return document{}, &problem
	}
	return document{kind: head.Kind, body: body, location: at}, nil
}

// yamlProblem converts an error of the YAML library into a problem at the line that
// the error names, or else at the given line.
func yamlProblem(name string, line int, err error) Problem {
	text := err.Error()
	var positioned yaml.Error
	if errors.As(err, &positioned) {
		text = positioned.GetMessage()
		if tk := positioned.GetToken(); tk != nil && tk.Position != nil {
			line = tk.Position.Line
		}
	}
	return Problem{
		file: name, line: line, text: strings.TrimSpace(strings.Split(text, "\n")[0]),
		remedy: "correct the YAML; docs/OPERATING.md lists the fields of each kind",
	}
}

// unsupportedNodeLine returns the line of the first tag, anchor, alias or merge key,
// or 0 if there is none.
func unsupportedNodeLine(node ast.Node) int {
	line := 0
	ast.Walk(visitorFunc(func(n ast.Node) {
		switch n.Type() {
		case ast.TagType, ast.AnchorType, ast.AliasType, ast.MergeKeyType:
			if tk := n.GetToken(); line == 0 && tk != nil && tk.Position != nil {
				line = tk.Position.Line
			}
		}
	}), node)
	return line
}

// visitorFunc is an ast.Visitor that calls a function for every node.
type visitorFunc func(n ast.Node)

// Visit calls the function and continues with the children of the node.
func (v visitorFunc) Visit(n ast.Node) ast.Visitor {
	v(n)
	return v
}

// collectLines stores the lines of a node and of all fields below it, keyed by field
// path.
func collectLines(node ast.Node, path string, lines map[string]int) {
	if tk := node.GetToken(); tk != nil && tk.Position != nil {
		if _, ok := lines[path]; !ok {
			lines[path] = tk.Position.Line
		}
	}
	switch n := node.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 {
			lines[path] = n.Values[0].Key.GetToken().Position.Line
		}
		for _, value := range n.Values {
			collectLines(value, path, lines)
		}
	case *ast.MappingValueNode:
		child := n.Key.String()
		if path != "" {
			child = path + "." + child
		}
		lines[child] = n.Key.GetToken().Position.Line
		collectLines(n.Value, child, lines)
	case *ast.SequenceNode:
		for i, value := range n.Values {
			collectLines(value, fmt.Sprintf("%s[%d]", path, i), lines)
		}
	}
}
