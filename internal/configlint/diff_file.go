package configlint

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"egretramp/internal/config"
)

// DiffFiles lists the differences between two operators' files that config.Parse accepts, other than
// the generation, the naming schemes and the placement's settings. Secrets and hashes may be
// redacted in either: keys are compared by ID, and secrets are not compared.
func DiffFiles(old, new *config.File) []Change {
	return diff(fileEntries(old), fileEntries(new))
}

func fileEntries(f *config.File) map[entryID]entry {
	entries := map[entryID]entry{{kind: KindLimits}: {fields: []field{{"cutoff limit", seconds(f.CutoffLimitSeconds)}}}}
	for _, a := range f.ClientAccounts {
		entries[entryID{KindAccount, a.ID}] = entry{rate: a.RatePerSecond, burst: a.Burst, fields: []field{
			{"names", names(a.Named)}, {"weight", number(a.Weight)}, {"cutoff limit", seconds(a.CutoffLimitSeconds)},
			{"tokens of a program", number(a.ProgramTokens)}, {"calls of a program", number(a.ProgramCalls)},
		}}
		for _, key := range a.Keys {
			entries[entryID{KindKey, key.ID}] = entry{account: a.ID}
		}
	}
	for _, m := range f.Models {
		entries[entryID{KindModel, m.ID}] = entry{fields: []field{
			{"names", names(m.Named)}, {"tokens", number(m.MaxTokens)}, {"memory", fmt.Sprintf("%d MB", m.MemoryMB)},
			{"adapter of", m.AdapterOf}, {"kept in", list(m.KeepIn)},
		}}
	}
	for _, s := range f.Services {
		entries[entryID{KindService, s.ID}] = entry{fields: []field{
			{"names", names(s.Named)}, {"repeatable", strconv.FormatBool(s.Repeatable)}, {"timeout", seconds(s.TimeoutSeconds)},
			{"concurrency", number(s.Concurrency)},
		}}
	}
	for _, r := range f.Routes {
		entries[entryID{KindRoute, r.ID}] = entry{fields: []field{
			{"model", r.Model}, {"service", r.Service}, {"path prefix", r.PathPrefix}, {"open", strconv.FormatBool(r.Open)},
			{"accounts", list(r.Accounts)}, {"timeout", seconds(r.TimeoutSeconds)},
		}}
	}
	for _, c := range f.Upstreams {
		entries[entryID{KindClass, c.ID}] = entry{fields: []field{
			{"kind", string(c.Kind)}, {"serves", list(c.Serves)}, {"zones", list(c.Zones)},
		}}
	}
	return entries
}

func seconds(s float64) string { return fmt.Sprintf("%g s", s) }

func number[T int | int64 | float64](n T) string { return fmt.Sprint(n) }

// list returns a list whose order has no meaning.
func list(items []string) string {
	sorted := slices.Sorted(slices.Values(items))
	return strings.Join(sorted, " + ")
}

func names(n config.Named) string {
	var items []string
	for scheme, name := range n.Names {
		items = append(items, scheme+"="+name)
	}
	return list(items)
}

// RefusedAfter returns what the control group refuses in a file because of the file in force: a
// generation that is not above its own, and keys that have another ID or hash there. Hashes that are
// redacted in force are not compared. A key that was withdrawn earlier is unknown here.
func RefusedAfter(inForce, file *config.File) []FileFinding {
	var findings []FileFinding
	if file.Generation <= inForce.Generation {
		findings = append(findings, FileFinding{[]any{"generation"},
			fmt.Sprintf("generation %d is not above generation %d in force", file.Generation, inForce.Generation)})
	}
	hashes, owners := map[string]string{}, map[string]string{}
	for _, a := range inForce.ClientAccounts {
		for _, key := range a.Keys {
			if key.SHA256 != config.Redacted {
				hashes[key.ID], owners[key.SHA256] = key.SHA256, key.ID
			}
		}
	}
	for i, a := range file.ClientAccounts {
		for k, key := range a.Keys {
			hash, known := hashes[key.ID]
			owner, owned := owners[key.SHA256]
			if known && hash != key.SHA256 || owned && owner != key.ID {
				findings = append(findings, FileFinding{[]any{"client_accounts", i, "keys", k},
					fmt.Sprintf("key %q has another hash or ID in force; give a new key a new ID", key.ID)})
			}
		}
	}
	return findings
}
