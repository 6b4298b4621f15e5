package cmds

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"dahliawinch/internal/conf/forms"
	"dahliawinch/internal/edge/oper"
)

var cmdHistory = command{
	use: "history", short: "List the latest revisions, who declared them and what they changed",
	flags: operatorFlags,
	action: func(c *cobra.Command, _ []string) error {
		o, err := newOperator(c)
		if err != nil {
			return err
		}
		var past []oper.Revision
		if _, err := o.call(c.Context(), http.MethodGet, "/history", nil, &past); err != nil {
			return failed(fmt.Errorf("history: %w", err))
		}
		for i, p := range past {
			fmt.Fprintf(c.OutOrStdout(), "revision %d by %s %s\n", p.Rev, p.Author, p.Note)
			if i == 0 {
				continue
			}
			changes, err := forms.Diff(past[i-1].Doc, p.Doc)
			if err != nil {
				return failed(fmt.Errorf("history: %w", err))
			}
			for _, x := range changes {
				fmt.Fprintln(c.OutOrStdout(), "  "+x.String())
			}
		}
		return nil
	},
}
