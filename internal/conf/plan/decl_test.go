package plan

import (
	"testing"

	"github.com/matryer/is"
)

func TestDeclarationsAreKeptUnderTheirKeys(t *testing.T) {
	is := is.New(t)
	one, two := Decl{Plan: &Plan{Version: 1}}, Decl{Plan: &Plan{Version: 2}}
	cordon := Decl{Cordon: "fd-a"}
	is.Equal(one.Key(), two.Key())
	is.True(!one.Same(two) && one.Same(Decl{Plan: &Plan{Version: 1}}))
	is.True(cordon.Key() != one.Key() && cordon.Key() != Decl{Cordon: "fd-b"}.Key())
	is.True(cordon.Same(cordon) && !cordon.Same(one))
	domain, ok := Cordoned(cordon.Key())
	is.True(ok && domain == "fd-a")
	_, ok = Cordoned(one.Key())
	is.True(!ok)
}
