package fakes

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// maxRecord limits the length of one line of a record file, in bytes.
const maxRecord = 1 << 20

// record is one line of a record file: the state of a run at that time, a watched string that
// was received, or a departure.
type record struct {
	Run  *Run   `json:"run,omitempty"`
	Seen string `json:"seen,omitempty"`
	// Departure is set for a goodbye that a VM accepted.
	Departure *Departure `json:"departure,omitempty"`
}

// Departure records the end of a stand-in's announcements, a goodbye that a VM accepted.
type Departure struct {
	Upstream    string `json:"upstream"`
	Incarnation int64  `json:"incarnation"`
	AtNS        int64  `json:"at_ns"` // Unix nanoseconds
}

// Records is the content of a record file, for all incarnations of a stand-in.
type Records struct {
	Runs []Run
	// Seen lists the watched strings that were received.
	Seen       []string
	Departures []Departure
}

// recordFile persists every record before the corresponding answer is sent, so that records
// survive a crash of the process. A nil recordFile discards records.
type recordFile struct {
	file *os.File
}

func openRecordFile(path string) (*recordFile, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "fakes: cannot open the record file")
	}
	return &recordFile{f}, nil
}

// write appends a line. It panics on an error, so that the call is not answered: later checks
// would otherwise take the missing record for a call that did not run.
func (f *recordFile) write(r record) {
	if f == nil {
		return
	}
	if _, err := f.file.Write(append(mustJSON(r), '\n')); err != nil {
		panic("fakes: cannot write a record: " + err.Error())
	}
}

// runKey identifies a run across all incarnations of a stand-in.
type runKey struct {
	incarnation int64
	sequence    int
}

// ReadRecords reads a record file. Lines that are not valid JSON, such as a last line truncated by
// a crash, are skipped.
func ReadRecords(path string) (Records, error) {
	var all Records
	f, err := os.Open(path)
	if err != nil {
		return all, errors.Wrap(err, "fakes: cannot open the record file")
	}
	defer f.Close()
	at := map[runKey]int{}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxRecord)
	for lines.Scan() {
		var r record
		if json.Unmarshal(lines.Bytes(), &r) != nil {
			continue
		}
		all.add(r, at)
	}
	return all, errors.Wrap(lines.Err(), "fakes: cannot read the record file")
}

// add adds a record. The record of a run replaces an earlier one of the same run.
func (all *Records) add(r record, at map[runKey]int) {
	if r.Seen != "" {
		all.Seen = append(all.Seen, r.Seen)
	}
	if r.Departure != nil {
		all.Departures = append(all.Departures, *r.Departure)
	}
	if r.Run == nil {
		return
	}
	key := runKey{r.Run.Incarnation, r.Run.Sequence}
	i, known := at[key]
	if !known {
		at[key] = len(all.Runs)
		all.Runs = append(all.Runs, *r.Run)
		return
	}
	all.Runs[i] = *r.Run
}
