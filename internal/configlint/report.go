// Package configlint finds entries of a valid configuration that can't have the effect their author
// intended, and describes the differences between two configurations by meaning. It covers routing
// tables and the operators' file of egretramp's own fleet. All functions are pure. Keys appear only
// as a short hash, see routing.KeyLabel, or by their ID.
package configlint

import (
	"cmp"
	"errors"
	"slices"

	"egretramp/internal/jsonfile"
	"egretramp/internal/routing"
)

// Report is the result of the check of a file.
type Report struct {
	// Errors make the file be refused, Warnings don't. Both are in file order.
	Errors   jsonfile.Problems
	Warnings jsonfile.Problems
	// Table is the configuration of a file without errors. It is not set for the own fleet's file.
	Table routing.Table
	// At returns a problem at a place of Table. It is nil if Table is not set.
	At func(message string, place routing.Place) jsonfile.Problem
}

// NewReport returns a report with the problems of a document as errors.
func NewReport(doc *jsonfile.Document, warnings jsonfile.Problems) Report {
	r := Report{Warnings: slices.Clone(warnings)}
	var problems jsonfile.Problems
	if errors.As(doc.Err(), &problems) {
		r.Errors = problems
	}
	return r
}

// Sort puts the warnings in file order.
func (r *Report) Sort() {
	slices.SortStableFunc(r.Warnings, func(a, b jsonfile.Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
