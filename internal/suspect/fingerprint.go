package suspect

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"maps"
	"slices"
	"unicode"
	"unicode/utf8"
)

// fingerprintBytes is the length of a fingerprint in bytes, before hex encoding.
const fingerprintBytes = 16

// Fingerprinter computes a fingerprint from the parts of a request.
type Fingerprinter struct {
	hash hash.Hash
}

// NewFingerprinter returns a fingerprinter without parts.
func NewFingerprinter() *Fingerprinter { return &Fingerprinter{hash: sha256.New()} }

// AddLiteral adds a part that is compared exactly, such as a canonical ID.
func (p *Fingerprinter) AddLiteral(s string) {
	p.AddBytes([]byte(s))
}

// AddBytes adds a part that is compared byte by byte, such as a body of unknown format.
func (p *Fingerprinter) AddBytes(data []byte) {
	p.hash.Write(data)
	p.hash.Write([]byte{0})
}

// AddText adds a part whose whitespace, letter case and invisible characters are ignored.
func (p *Fingerprinter) AddText(s string) {
	buf := make([]byte, 0, len(s)+1)
	for _, c := range s {
		if c < utf8.RuneSelf {
			buf = appendASCII(buf, byte(c))
			continue
		}
		if unicode.IsSpace(c) || unicode.IsControl(c) || unicode.Is(unicode.Cf, c) {
			continue
		}
		buf = utf8.AppendRune(buf, unicode.ToLower(c))
	}
	p.hash.Write(append(buf, 0))
}

// appendASCII is the fast path of AddText for an ASCII character.
func appendASCII(buf []byte, c byte) []byte {
	switch {
	case c <= ' ' || c == 0x7f:
		return buf
	case 'A' <= c && c <= 'Z':
		return append(buf, c+'a'-'A')
	}
	return append(buf, c)
}

// AddBody adds a request body: as JSON if it parses as such, ignoring the order of object members, and
// as text otherwise.
func (p *Fingerprinter) AddBody(data []byte) {
	var value any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if decoder.Decode(&value) != nil || decoder.More() {
		p.AddText(string(data))
		return
	}
	p.addValue(value)
}

func (p *Fingerprinter) addValue(value any) {
	switch v := value.(type) {
	case map[string]any:
		p.AddLiteral("{")
		for _, name := range slices.Sorted(maps.Keys(v)) {
			p.AddText(name)
			p.addValue(v[name])
		}
		p.AddLiteral("}")
	case []any:
		p.AddLiteral("[")
		for _, item := range v {
			p.addValue(item)
		}
		p.AddLiteral("]")
	case string:
		p.AddText(v)
	case json.Number:
		p.AddLiteral(v.String())
	case bool:
		if v {
			p.AddLiteral("true")
		} else {
			p.AddLiteral("false")
		}
	default:
		p.AddLiteral("null")
	}
}

// Fingerprint returns the fingerprint of all parts.
func (p *Fingerprinter) Fingerprint() Fingerprint {
	return Fingerprint(hex.EncodeToString(p.hash.Sum(nil)[:fingerprintBytes]))
}
