package workload

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGenerator_SameSeedSamePrograms(t *testing.T) {
	draw := func(seed int64) []*Program {
		return Mix(seed, 20, NewGenerator(seed, Bajio()), NewGenerator(seed, Colombo()))
	}
	require.Equal(t, draw(7), draw(7))
	require.NotEqual(t, draw(7), draw(8))
}

func TestGenerator_ProgramsHaveTheDeploymentsShape(t *testing.T) {
	for _, d := range []Deployment{Bajio(), Colombo()} {
		require.Len(t, d.Accounts, 8)
		g := NewGenerator(3, d)
		byAccount := map[string]int{}
		longest, children := 0, 0
		bodies := map[string]bool{}
		for range 400 {
			p := g.Next()
			byAccount[p.Account]++
			tools := 0
			for _, s := range p.Steps {
				if s.Child != nil {
					children++
					require.Equal(t, p.Name, s.Child.Parent)
				}
				if s.Kind == Service {
					tools++
					require.False(t, bodies[string(s.Body)])
					bodies[string(s.Body)] = true
				}
			}
			require.NotZero(t, tools)
			longest = max(longest, len(p.Steps))
		}
		require.Greater(t, byAccount[d.Accounts[0].ID], 2*byAccount[d.Accounts[7].ID])
		require.Greater(t, longest, 3*d.shape.minTurns)
		require.NotZero(t, children)
	}
}
