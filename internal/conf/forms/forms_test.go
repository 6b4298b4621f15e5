package forms

import (
	"errors"
	"os"
	"testing"

	"github.com/matryer/is"

	"dahliawinch/internal/conf/doc"
)

func example(t *testing.T) *doc.Document {
	t.Helper()
	text, err := os.ReadFile("../doc/testdata/valid/prairie.json")
	if err != nil {
		t.Fatal(err)
	}
	d, err := doc.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestEachFormChangesOneThing(t *testing.T) {
	cases := []struct {
		form string
		in   Values
		want []string
	}{
		{"pause", Values{"tenant": "crew"}, []string{"+ tenants.crew.paused true"}},
		{"share", Values{"tenant": "crew", "weight": "3"}, []string{"~ tenants.crew.weight 1 -> 3"}},
		{"quota", Values{"tenant": "relief", "slots": "90"}, []string{"~ tenants.relief.slots 200 -> 90"}},
		{"class", Values{"class": "sos", "band": "urgent", "deadline": "2s", "once": "no"}, []string{"+ classes.sos.band urgent", "+ classes.sos.deadline 2s"}},
		{"drain", Values{"endpoints": "127.0.0.8:80, 127.0.0.9:8080"}, []string{"+ endpoints.drain[1] 127.0.0.8:80"}},
		{"undrain", Values{"endpoints": "127.0.0.9:8080"}, []string{"- endpoints.drain[0] 127.0.0.9:8080"}},
		{"reserve", Values{"part": "0.2"}, []string{"~ reserve 0.12 -> 0.2"}},
	}
	for _, c := range cases {
		t.Run(c.form, func(t *testing.T) {
			is := is.New(t)
			f, err := Find(c.form)
			is.NoErr(err)
			d := example(t)
			next, err := f.Apply(d, c.in)
			is.NoErr(err)
			is.Equal(len(next.Check()), 0)
			was, err := d.Encode()
			is.NoErr(err)
			now, err := next.Encode()
			is.NoErr(err)
			changes, err := Diff(was, now)
			is.NoErr(err)
			var got []string
			for _, x := range changes {
				got = append(got, x.String())
			}
			is.Equal(got, c.want)
		})
	}
}

func TestBadInputNamesTheField(t *testing.T) {
	is := is.New(t)
	_, err := Find("destroy")
	is.True(errors.Is(err, ErrForm))
	for _, c := range []struct {
		form string
		in   Values
		want string
	}{
		{"pause", Values{}, "field tenant: is empty; a declared tenant"},
		{"pause", Values{"tenant": "nobody"}, `field tenant: "nobody" is not declared; use one of crew, relief`},
		{"share", Values{"tenant": "crew", "weight": "much"}, `field weight: "much" is no number`},
		{"drain", Values{"endpoints": "host:80"}, `field endpoints: "host:80" is no address; write an IP number and a port`},
		{"pause", Values{"tenant": "crew", "colour": "red"}, "field colour: is not of form pause"},
	} {
		f, err := Find(c.form)
		is.NoErr(err)
		_, err = f.Apply(example(t), c.in)
		is.True(errors.Is(err, ErrField))
		is.Equal(err.Error(), c.want)
	}
}
