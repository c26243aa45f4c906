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

// fingerprintBytes is the length of a fingerprint before it is written in hex.
const fingerprintBytes = 16

// Printer computes a fingerprint from the parts of a request.
type Printer struct {
	sum hash.Hash
}

// NewPrinter returns a printer without parts.
func NewPrinter() *Printer { return &Printer{sum: sha256.New()} }

// Name adds a part that counts as it is, such as a canonical ID.
func (p *Printer) Name(s string) {
	p.sum.Write([]byte(s))
	p.sum.Write([]byte{0})
}

// Text adds a part whose spacing, letter case and invisible characters do not count.
func (p *Printer) Text(s string) {
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
	p.sum.Write(append(buf, 0))
}

// appendASCII is the quick path of Text.
func appendASCII(buf []byte, c byte) []byte {
	switch {
	case c <= ' ' || c == 0x7f:
		return buf
	case 'A' <= c && c <= 'Z':
		return append(buf, c+'a'-'A')
	}
	return append(buf, c)
}

// Body adds a body: as JSON if it is JSON, where the order of an object's members does not
// count, else as text.
func (p *Printer) Body(data []byte) {
	var value any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if decoder.Decode(&value) != nil || decoder.More() {
		p.Text(string(data))
		return
	}
	p.value(value)
}

func (p *Printer) value(value any) {
	switch v := value.(type) {
	case map[string]any:
		p.Name("{")
		for _, name := range slices.Sorted(maps.Keys(v)) {
			p.Text(name)
			p.value(v[name])
		}
		p.Name("}")
	case []any:
		p.Name("[")
		for _, item := range v {
			p.value(item)
		}
		p.Name("]")
	case string:
		p.Text(v)
	case json.Number:
		p.Name(v.String())
	case bool:
		if v {
			p.Name("true")
		} else {
			p.Name("false")
		}
	default:
		p.Name("null")
	}
}

// Fingerprint returns the fingerprint of all parts.
func (p *Printer) Fingerprint() Fingerprint {
	return Fingerprint(hex.EncodeToString(p.sum.Sum(nil)[:fingerprintBytes]))
}
