package settings

import (
	"os"

	"github.com/cockroachdb/errors"

	"egretramp/internal/jsonfile"
)

// Load reads and checks the settings file at path. The error is a jsonfile.Problems if the
// file could be read.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings: cannot read the file")
	}
	return Parse(path, text)
}

// Parse checks the text of a settings file and fills in the defaults. The name stands in the
// error, a jsonfile.Problems with all that is wrong.
func Parse(name string, text []byte) (*Settings, error) {
	s := &Settings{}
	doc := jsonfile.Decode(name, text, MaxBytes, s)
	if doc.Parsed() {
		checkListeners(doc, s.Listen)
		checkPeers(doc, s.Peers)
		checkSelf(doc, s)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	s.fillDefaults()
	return s, nil
}

func (s *Settings) fillDefaults() {
	if s.ShutdownLimitSeconds == 0 {
		s.ShutdownLimitSeconds = DefaultShutdownLimitSeconds
	}
	if s.TLS.On() && s.TLS.Mode == "" {
		s.TLS.Mode = DefaultTLSMode
	}
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
}
