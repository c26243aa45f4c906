package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func exampleSnapshot(t *testing.T) *Snapshot {
	t.Helper()
	f, err := Parse("f", []byte(example))
	require.NoError(t, err)
	return Compile(f)
}

func TestSnapshot_FindsItemsByIDAndName(t *testing.T) {
	s := exampleSnapshot(t)
	for _, name := range []string{"opera", "OP/1"} {
		a, ok := s.Account(name)
		require.True(t, ok)
		require.Equal(t, "opera", a.ID)
	}
	m, _ := s.Model("L")
	require.Equal(t, "large", m.ID)
	d, _ := s.Service("Desk:1")
	require.Equal(t, "desk", d.ID)
	_, ok := s.Account("large")
	require.False(t, ok, "accounts and models have separate namespaces")
	_, ok = s.Class("engines")
	require.True(t, ok)
	require.EqualValues(t, 3, s.Generation())
}

func TestSnapshot_KeyAccount(t *testing.T) {
	s := exampleSnapshot(t)
	a, id, ok := s.KeyAccount(HashKey("opera-key"))
	require.True(t, ok)
	require.Equal(t, "opera", a.ID)
	require.Equal(t, "k1", id)
	_, _, ok = s.KeyAccount("opera-key")
	require.False(t, ok)
}

func TestSnapshot_Routes(t *testing.T) {
	s := exampleSnapshot(t)
	opera, _ := s.Account("opera")
	carnival, _ := s.Account("carnival")

	r, ok := s.ModelRoute(opera, "large")
	require.True(t, ok)
	require.Equal(t, "r1", r.ID)
	for _, refused := range []struct {
		account *ClientAccount
		model   string
	}{{carnival, "large"}, {opera, "small"}, {nil, "large"}, {opera, "*"}} {
		_, ok = s.ModelRoute(refused.account, refused.model)
		require.False(t, ok)
	}

	for _, c := range []struct {
		account *ClientAccount
		path    string
		want    string // route ID, empty for none
	}{
		{nil, "/hours", "r2"},
		{nil, "/hours/today", "r2"},
		{opera, "/hours", "r2"},
		{nil, "/hours2", ""},
		{nil, "/", ""},
		{nil, "/hours/../admin", ""},
		{nil, "/hours//", ""},
		{nil, "hours", ""},
		{carnival, "/", "r3"},
		{carnival, "/quotes/", "r3"},
		{opera, "/quotes", ""},
		{opera, "/admin", "r4"},
		{carnival, "/members", "r5"},
		{nil, "/members", ""},
		{carnival, "/admin/x", ""},
	} {
		r, ok := s.ServiceRoute(c.account, "Desk:1", c.path)
		require.Equal(t, c.want != "", ok, c.path)
		if ok {
			require.Equal(t, c.want, r.ID, c.path)
		}
	}
}
