package config

import (
	"egretramp/internal/jsonfile"
)

// Parse checks the text of an operators' file and fills in the defaults. The error is a
// jsonfile.Problems with all problems found; name is the file name in it.
func Parse(name string, text []byte) (*File, error) {
	f, doc := Check(name, text)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// Check does the same as Parse, and returns the document, which has the problems and the positions
// of all values. The file is complete only if there are no problems.
func Check(name string, text []byte) (*File, *jsonfile.Document) {
	f := &File{}
	doc := jsonfile.Decode(name, text, MaxBytes, f)
	if doc.Parsed() {
		c := newChecker(doc, f)
		c.checkSchemes()
		c.fillNamespaces()
		c.checkKeys()
		c.checkRoutes()
		c.checkUpstreams()
		c.checkPlacement()
	}
	if doc.Err() == nil {
		f.fillDefaults()
	}
	return f, doc
}

func (f *File) fillDefaults() {
	setDefault(&f.CutoffLimitSeconds, DefaultCutoffLimitSeconds)
	for i := range f.ClientAccounts {
		a := &f.ClientAccounts[i]
		setDefault(&a.Weight, DefaultWeight)
		setDefault(&a.CutoffLimitSeconds, f.CutoffLimitSeconds)
		setDefault(&a.ProgramTokens, DefaultProgramTokens)
		setDefault(&a.ProgramCalls, DefaultProgramCalls)
	}
	for i := range f.Models {
		setDefault(&f.Models[i].MaxTokens, DefaultModelMaxTokens)
	}
	for i := range f.Services {
		setDefault(&f.Services[i].TimeoutSeconds, DefaultServiceTimeoutSeconds)
		setDefault(&f.Services[i].Concurrency, DefaultServiceConcurrency)
	}
	f.Placement.fillDefaults()
	for i := range f.Routes {
		if f.Routes[i].Service != "" {
			setDefault(&f.Routes[i].PathPrefix, DefaultPathPrefix)
		}
	}
}

// setDefault sets a field that the file omits. An explicit zero can't occur: the checks reject it.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
