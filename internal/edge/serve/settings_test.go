package serve

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const good = `{"name":"a-1","domain":"a","caller":"10.1.0.1:8161","ready":"10.1.0.1:8167","mesh":"10.1.0.1:7720","store":"10.2.0.7:8169","seeds":"10.1.0.1:8166,10.1.0.2:8166","hold":"900ms","memory":284}`

func read(t *testing.T, text string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(path)
}

func TestSettingsAreReadWithDefaults(t *testing.T) {
	is := is.New(t)
	s, err := read(t, good)
	is.NoErr(err)
	is.Equal(s.Hold.Std(), 900*time.Millisecond)
	is.Equal(s.Grace.Std(), 6*time.Second)
	peers, err := s.seedPeers()
	is.NoErr(err)
	is.Equal(len(peers), 1) // without the VM itself
	is.Equal(peers[0].String(), "10.1.0.2:7720")
	is.Equal(s.Options, Options{}) // nothing is on unless the file asks for it
}

func TestOptionsAreRead(t *testing.T) {
	is := is.New(t)
	s, err := read(t, strings.Replace(good, `"name"`, `"speeds":true,"split":true,"demand":true,"fill":true,"shares":{"2":0.4},"name"`, 1))
	is.NoErr(err)
	is.Equal(s.Options, Options{Speeds: true, Split: true, Demand: true, Fill: true, Shares: map[string]float64{"2": 0.4}})
	is.Equal(s.rankShares(), map[int]float64{2: 0.4})
}

func TestBadSettingsNameFieldAndFix(t *testing.T) {
	for field, text := range map[string]string{
		"domain": strings.Replace(good, `"domain":"a"`, `"domain":""`, 1),
		"store":  strings.Replace(good, `"10.2.0.7:8169"`, `"10.2.0.7:0"`, 1),
		"hold":   strings.Replace(good, `"900ms"`, `"2h"`, 1),
		"seeds":  strings.Replace(good, `10.1.0.2:8166`, `nobody`, 1),
		"memory": strings.Replace(good, `284`, `1`, 1),
		"colour": strings.Replace(good, `"name"`, `"colour"`, 1),
		// A share of rank 0 would never be used, and shares that leave nothing to earlier ranks would starve urgent jobs.
		"shares":    strings.Replace(good, `"name"`, `"shares":{"0":0.3},"name"`, 1),
		"shares.2":  strings.Replace(good, `"name"`, `"shares":{"2":0},"name"`, 1),
		"add up to": strings.Replace(good, `"name"`, `"shares":{"1":0.5,"2":0.5},"name"`, 1),
	} {
		is := is.New(t)
		_, err := read(t, text)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), field))
	}
	_, err := Read("/nowhere/settings.json")
	is.New(t).True(err != nil)
}

func TestReloadKeepsListenerAddresses(t *testing.T) {
	is := is.New(t)
	s, err := read(t, good)
	is.NoErr(err)
	next := s
	next.Seeds = ""
	is.NoErr(s.checkReload(next))
	next.Domain = "b"
	is.True(s.checkReload(next) != nil)
}
