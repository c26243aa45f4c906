package turns

import "testing"

// FuzzApply applies any log entry twice to two machines: neither may panic, and both must reach the same state, since
// every replica applies the same entries.
func FuzzApply(f *testing.F) {
	for _, c := range []Command{
		{Now: 5, Begin: &Begin{Account: "a", Program: "p", Request: "r", Budget: 100, HasBudget: true, MaxTokens: 50, Line: "l"}},
		{Now: 6, End: &End{Account: "a", Program: "p", Request: "r", Tokens: 10, Record: true, Input: []byte("in"), Output: []byte("out"), NextMaxTokens: 10, Budget: 100, Home: "u"}},
		{Now: -1, Stream: &Stream{Account: "a", Request: "r", Origin: "s\x00v1", Retention: 1 << 62}},
		{Now: 1 << 62, Begin: &Begin{Account: "a", Previous: "r", ResumesUnnamed: true}},
	} {
		data, err := c.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := New(), New()
		for range 2 {
			first, second := a.Apply(1, data), b.Apply(1, data)
			if string(first) != string(second) {
				t.Fatalf("%x and %x", first, second)
			}
			a.Finish(data, first)
		}
		snapshot, err := a.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := New().Restore(snapshot); err != nil {
			t.Fatalf("the snapshot can't be restored: %v", err)
		}
	})
}
