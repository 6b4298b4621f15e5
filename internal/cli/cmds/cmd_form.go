package cmds

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/forms"
	"dahliawinch/internal/conf/valid"
)

var cmdForm = command{
	use: "form NAME key=value...", short: "Change one thing of the document in force",
	long: "Change one thing of the document in force, as the console's forms do:\n" + formList() +
		"\nWith --dry the change is only shown. Exit codes as of declare.",
	args: cobra.MinimumNArgs(1),
	flags: func(f *pflag.FlagSet) {
		operatorFlags(f)
		changeFlags(f)
		f.Bool("dry", false, "show the change and declare nothing")
	},
	action: func(c *cobra.Command, args []string) error {
		f, err := forms.Find(args[0])
		if err != nil {
			return &exitError{exitRefused, fmt.Errorf("form: %w", err)}
		}
		values := forms.Values{}
		for _, pair := range args[1:] {
			k, v, ok := strings.Cut(pair, "=")
			if !ok {
				return &exitError{exitRefused, fmt.Errorf("form: %w %q: write it as key=value", forms.ErrField, pair)}
			}
			values[k] = v
		}
		o, err := newOperator(c)
		if err != nil {
			return err
		}
		cur, err := o.current(c.Context())
		if err != nil {
			return &exitError{exitRefused, fmt.Errorf("form: %w", err)}
		}
		return applyForm(c, o, f, values, cur.Rev, cur.Doc)
	},
}

// applyForm applies a form, shows the change and declares it.
func applyForm(c *cobra.Command, o *operatorClient, f forms.Form, v forms.Values, base uint64, text []byte) error {
	d, err := doc.Parse(text)
	if err != nil {
		return &exitError{exitRefused, fmt.Errorf("form: %w", err)}
	}
	next, err := f.Apply(d, v)
	if err != nil {
		return &exitError{exitRefused, fmt.Errorf("form: %w", err)}
	}
	if ps := next.Check(); len(ps) > 0 {
		return &exitError{exitRefused, fmt.Errorf("form: %w", &valid.Error{Problems: ps})}
	}
	out, err := next.Encode()
	if err != nil {
		return failed(fmt.Errorf("form: %w", err))
	}
	changes, err := forms.Diff(text, out)
	if err != nil {
		return failed(fmt.Errorf("form: %w", err))
	}
	for _, x := range changes {
		fmt.Fprintln(c.OutOrStdout(), x)
	}
	if dry, _ := c.Flags().GetBool("dry"); dry {
		return nil
	}
	watch, _ := c.Flags().GetDuration("watch")
	return o.declare(c, base, out, watch)
}

func formList() string {
	var b strings.Builder
	for _, f := range forms.All {
		fmt.Fprintf(&b, "  %-8s %s:", f.Name, strings.ToLower(f.Title))
		for _, in := range f.Fields {
			fmt.Fprintf(&b, " %s", in.Name)
		}
		b.WriteString("\n")
	}
	return strings.TrimRight(b.String(), "\n")
}
