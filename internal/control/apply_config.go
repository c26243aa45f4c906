package control

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"egretramp/internal/config"
	"egretramp/internal/jsonfile"
)

// maxAcceptanceHistory bounds the number of accepted files whose resends are recognized. At 2,500
// changes a day, it covers about ten hours.
const maxAcceptanceHistory = 1000

// placeholderFileName replaces the file's name in problem reports: the log doesn't carry it.
const placeholderFileName = "configuration"

func (m *Machine) applyConfig(a *ApplyConfig) Result {
	file, err := config.Parse(placeholderFileName, []byte(a.Text))
	if err != nil {
		return fileRefusal(err)
	}
	// Check for a resend first: it returns the original acceptance and changes nothing, even if one
	// of its keys has been withdrawn since.
	if first, ok := m.findAcceptance(file.Generation, a.Hash); ok {
		return Result{Applied: &Applied{Acceptance: first, InForce: m.config.Generation}}
	}
	if refusal := m.checkGeneration(file.Generation); refusal != nil {
		return Result{Refusal: refusal}
	}
	if refusal := m.checkKeys(file); refusal != nil {
		return Result{Refusal: refusal}
	}
	m.activateConfig(file, a)
	return Result{Applied: &Applied{Acceptance: m.config.Acceptance, InForce: m.config.Generation}}
}

// fileRefusal returns the refusal of a file that config.Parse rejected.
func fileRefusal(err error) Result {
	result := refuse(CodeBadFile, "the file has problems")
	if !errors.As(err, &result.Refusal.Problems) {
		result.Refusal.Problems = jsonfile.Problems{{File: placeholderFileName, Line: 1, Column: 1, Message: err.Error()}}
	}
	return result
}

// findAcceptance returns the first acceptance of the file with this generation and hash.
func (m *Machine) findAcceptance(generation uint64, hash string) (Acceptance, bool) {
	for _, a := range m.history {
		if a.Generation == generation && a.Hash == hash {
			return a, true
		}
	}
	return Acceptance{}, false
}

// checkGeneration refuses a generation that is not above the one in force.
func (m *Machine) checkGeneration(generation uint64) *Refusal {
	current := m.config.Acceptance
	if generation > current.Generation {
		return nil
	}
	code := CodeGenerationOld
	message := fmt.Sprintf("generation %d is older than generation %d in force", generation, current.Generation)
	if generation == current.Generation {
		code = CodeGenerationTaken
		message = fmt.Sprintf("generation %d is taken by another file", generation)
	}
	message += fmt.Sprintf(" (hash %.12s, applied by %q); base your change on it and use a higher generation",
		current.Hash, current.Operator)
	return &Refusal{Code: code, Message: message, InForce: &current}
}

// checkKeys refuses a file that lists a withdrawn key, or that pairs a key ID or hash in force
// with a different hash or ID. Either would bypass a withdrawal.
func (m *Machine) checkKeys(file *config.File) *Refusal {
	owners := make(map[string]string, len(m.keys))
	for id, hash := range m.keys {
		owners[hash] = id
	}
	var withdrawn, reused []string
	for _, account := range file.ClientAccounts {
		for _, key := range account.Keys {
			hash, known := m.keys[key.ID]
			owner, owned := owners[key.SHA256]
			switch {
			case m.withdrawn.has(key.ID, key.SHA256):
				withdrawn = append(withdrawn, key.ID)
			case known && hash != key.SHA256, owned && owner != key.ID:
				reused = append(reused, key.ID)
			}
		}
	}
	if len(withdrawn) > 0 {
		return &Refusal{
			Code:    CodeWithdrawnKey,
			Message: fmt.Sprintf("the ID or hash of these keys is withdrawn for good: %.400q", withdrawn),
			KeyIDs:  withdrawn,
		}
	}
	if len(reused) > 0 {
		return &Refusal{
			Code:    CodeKeyReused,
			Message: fmt.Sprintf("these keys have another hash or ID in generation %d in force; give a new key a new ID: %.400q", m.config.Generation, reused),
			KeyIDs:  reused,
		}
	}
	return nil
}

// activateConfig replaces the configuration and withdraws the keys that the new file omits, in
// order of their IDs.
func (m *Machine) activateConfig(file *config.File, a *ApplyConfig) {
	keys := map[string]string{}
	for _, account := range file.ClientAccounts {
		for _, key := range account.Keys {
			keys[key.ID] = key.SHA256
		}
	}
	for _, id := range sortedKeys(m.keys) {
		if _, kept := keys[id]; !kept && !m.withdrawn.hasID(id) {
			m.withdrawn.append(id, m.keys[id])
		}
	}
	m.keys = keys
	m.limits = limitsOf(file)
	m.loads.configure(file.Placement)
	m.config = Config{
		Acceptance: Acceptance{
			Generation: file.Generation,
			Hash:       a.Hash,
			Operator:   a.Operator,
			RequestID:  a.RequestID,
			Index:      m.index,
		},
		Text: a.Text,
	}
	m.history = append(m.history, m.config.Acceptance)
	if len(m.history) > maxAcceptanceHistory {
		m.history = append([]Acceptance(nil), m.history[len(m.history)-maxAcceptanceHistory:]...)
	}
}
