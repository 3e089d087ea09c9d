package declaration

// The document types have the fields of the operators' files. Their values are
// unchecked until compile has accepted them.

// kindHeader is the part of a document that states its kind.
type kindHeader struct {
	Kind Kind `json:"kind" yaml:"kind"`
}

type regionDocument struct {
	Kind    Kind     `json:"kind" yaml:"kind"`
	Name    string   `json:"name" yaml:"name"`
	Domains []string `json:"domains" yaml:"domains"`
}

type workerDocument struct {
	At     string `json:"at" yaml:"at"`
	Domain string `json:"domain" yaml:"domain"`
	Slots  int    `json:"slots" yaml:"slots"`
}

type serviceDocument struct {
	Kind    Kind             `json:"kind" yaml:"kind"`
	Name    string           `json:"name" yaml:"name"`
	Path    string           `json:"path" yaml:"path"`
	Safe    []string         `json:"safe,omitempty" yaml:"safe"`
	Limit   string           `json:"limit" yaml:"limit"`
	Health  string           `json:"health,omitempty" yaml:"health"`
	Workers []workerDocument `json:"workers" yaml:"workers"`
}

type stepDocument struct {
	Share string `json:"share" yaml:"share"`
	Every string `json:"every" yaml:"every"`
}

type capDocument struct {
	Kind    Kind         `json:"kind" yaml:"kind"`
	Service string       `json:"service" yaml:"service"`
	Planned stepDocument `json:"planned" yaml:"planned"`
	Failure stepDocument `json:"failure" yaml:"failure"`
}

type linkDocument struct {
	Kind Kind     `json:"kind" yaml:"kind"`
	Ends []string `json:"ends" yaml:"ends"`
	Rate string   `json:"rate" yaml:"rate"`
}

type drainDocument struct {
	Kind   Kind   `json:"kind" yaml:"kind"`
	Region string `json:"region,omitempty" yaml:"region"`
	Domain string `json:"domain,omitempty" yaml:"domain"`
	Worker string `json:"worker,omitempty" yaml:"worker"`
	From   string `json:"from" yaml:"from"`
	Until  string `json:"until" yaml:"until"`
}

type blockDocument struct {
	Kind   Kind   `json:"kind" yaml:"kind"`
	Prefix string `json:"prefix" yaml:"prefix"`
	Region string `json:"region" yaml:"region"`
}

// document is one decoded declaration with its location.
type document struct {
	kind     Kind
	body     any // from newBody
	location location
}

// location is the file of a document and the lines of its fields. Lines are keyed by
// field path, such as "workers[0].at"; the empty path is the document itself.
type location struct {
	file  string
	lines map[string]int
}

// line returns the line of a field, or that of the document if the field is missing.
func (l location) line(path string) int {
	if n, ok := l.lines[path]; ok {
		return n
	}
	return l.lines[""]
}

// newBody returns a pointer to an empty document of a kind, such as *regionDocument,
// or nil if the kind is unknown.
func newBody(kind Kind) any {
	switch kind {
	case KindRegion:
		return new(regionDocument)
	case KindService:
		return new(serviceDocument)
	case KindCap:
		return new(capDocument)
	case KindLink:
		return new(linkDocument)
	case KindDrain:
		return new(drainDocument)
	case KindBlock:
		return new(blockDocument)
	default:
		return nil
	}
}
