// Package workload generates programs in the shape of two deployments, runs them against VMs
// as callers do, and checks the outcome by the records of the callers and of the stand-ins alone.
// Of the system under test it uses only the callers' protocol.
package workload

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"egretramp/internal/config"
)

// Schemes are the naming schemes; every deployment has names in all of them.
var Schemes = []string{"ledger", "portal", "legacy"}

// Account is a client account with its key.
type Account struct {
	config.ClientAccount
	// Key is the key that its callers send.
	Key string
	// Share is its weight in the draw of the deployment's programs.
	Share float64
}

// Deployment holds one user's client accounts, model and services, and the shape of its programs.
type Deployment struct {
	Name     string
	Accounts []Account
	Model    config.Model
	Services []config.Service
	// Tools are the paths of non-idempotent tool calls, by service.
	Tools map[string][]string
	shape shape
}

// shape holds the parameters of a deployment's programs.
type shape struct {
	minTurns     int     // chat turns of the shortest program
	turnsTail    float64 // Pareto exponent of the number of turns; smaller is heavier
	maxTurns     int
	messageWords int     // words of a typical message
	toolPart     float64 // fraction of chat turns that a tool call follows
	childPart    float64 // fraction of programs that start a sub-agent
	streamPart   float64 // fraction of chat calls that stream
}

// Rates of the accounts, in requests a second, and their bursts.
const (
	largeRate  = 60
	largeBurst = 60
	smallRate  = 20
	smallBurst = 30
	// largeAccounts is how many of a deployment's accounts are large.
	largeAccounts = 2
	accounts      = 8
	largeShare    = 6
)

// Bajio returns the deployment of the wig dressers' co-operative: fitting and quote conversations
// with bookings and deposits between the turns.
func Bajio() Deployment {
	d := Deployment{
		Name:     "bajio",
		Accounts: makeAccounts("bajio"),
		Model:    config.Model{Named: named("bajio", "fitting-model"), MaxTokens: 256},
		Services: []config.Service{{Named: named("bajio", "workshop")}},
		Tools:    map[string][]string{"bajio-workshop": {"/book-fitting", "/charge-deposit", "/ship-wig"}},
		shape: shape{
			minTurns: 3, turnsTail: 1.8, maxTurns: 24, messageWords: 14,
			toolPart: 0.4, childPart: 0.2, streamPart: 0.6,
		},
	}
	return d
}

// Colombo returns the deployment of the footfall venture: long reconciliation sessions over the
// day's tallies, with count corrections and gate commands.
func Colombo() Deployment {
	d := Deployment{
		Name:     "colombo",
		Accounts: makeAccounts("colombo"),
		Model:    config.Model{Named: named("colombo", "tally-model"), MaxTokens: 256},
		Services: []config.Service{{Named: named("colombo", "gate")}},
		Tools:    map[string][]string{"colombo-gate": {"/correct-count", "/open-gate"}},
		shape: shape{
			minTurns: 6, turnsTail: 1.4, maxTurns: 48, messageWords: 24,
			toolPart: 0.25, childPart: 0.1, streamPart: 0.3,
		},
	}
	return d
}

// named builds a canonical ID and a name in each scheme.
func named(deployment, what string) config.Named {
	id := deployment + "-" + what
	return config.Named{ID: id, Names: map[string]string{
		Schemes[0]: "L:" + id,
		Schemes[1]: "Portal:" + id,
		Schemes[2]: "old." + id,
	}}
}

func makeAccounts(deployment string) []Account {
	list := make([]Account, accounts)
	for i := range list {
		a := &list[i]
		a.Named = named(deployment, fmt.Sprintf("client-%d", i+1))
		a.RatePerSecond, a.Burst, a.Share = smallRate, smallBurst, 1
		if i < largeAccounts {
			a.RatePerSecond, a.Burst, a.Share = largeRate, largeBurst, largeShare
		}
		a.SetKey(fmt.Sprintf("key-1-of-%s", a.ID), fmt.Sprintf("egk_%s_3f9c1b77a2d04e58", a.ID))
	}
	return list
}

// SetKey replaces the account's keys with one key.
func (a *Account) SetKey(id, key string) {
	a.Key = key
	sum := sha256.Sum256([]byte(key))
	a.Keys = []config.Key{{ID: id, SHA256: hex.EncodeToString(sum[:])}}
}

// AllNames returns the canonical ID and the names in all schemes.
func AllNames(n config.Named) []string {
	list := []string{n.ID}
	for _, s := range Schemes {
		list = append(list, n.Names[s])
	}
	return list
}
