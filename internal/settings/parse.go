package settings

import (
	"os"

	"github.com/cockroachdb/errors"

	"egretramp/internal/jsonfile"
)

// Load reads, checks and completes the settings file at path. If the file is readable but invalid,
// the error is a jsonfile.Problems.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings: cannot read the file")
	}
	return Parse(path, text)
}

// Parse checks the text of a settings file and fills in the defaults. The error is a
// jsonfile.Problems with all problems found; name is the file name in it.
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
