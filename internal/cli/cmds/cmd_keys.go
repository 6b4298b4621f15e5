package cmds

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/edge/certs"
)

var errKeys = errors.New("use: keys new, keys hash KEY, or keys tls DIR IP")

var cmdKeys = command{
	use: "keys new | keys hash KEY | keys tls DIR IP...", short: "Make keys, their hashes, and certificates",
	long: "new prints a random key and its hash; hash prints the hash of a key, which is all that\ndocuments and settings hold; tls makes an authority and, in a folder for each IP number,\na certificate that it signed (for test deployments: your own authority does the same).",
	args: cobra.MinimumNArgs(1),
	flags: func(f *pflag.FlagSet) {
		f.Duration("life", 365*24*time.Hour, "how long certificates are valid")
	},
	action: func(c *cobra.Command, args []string) error {
		out := c.OutOrStdout()
		switch {
		case args[0] == "new" && len(args) == 1:
			key := rand.Text()
			fmt.Fprintf(out, "key=%s\nhash=%s\n", key, doc.Hash(key))
		case args[0] == "hash" && len(args) == 2:
			fmt.Fprintln(out, doc.Hash(args[1]))
		case args[0] == "tls" && len(args) >= 3:
			life, _ := c.Flags().GetDuration("life")
			if err := makeTLS(c, args[1], args[2:], life); err != nil {
				return failed(fmt.Errorf("keys: %w", err))
			}
		default:
			return errKeys
		}
		return nil
	},
}

func makeTLS(c *cobra.Command, dir string, ips []string, life time.Duration) error {
	a, err := certs.NewAuthority(life)
	if err != nil {
		return err
	}
	for _, text := range ips {
		ip, err := netip.ParseAddr(text)
		if err != nil {
			return fmt.Errorf("%q is not an IP address: %w", text, err)
		}
		vmDir := filepath.Join(dir, ip.String())
		if err := os.MkdirAll(vmDir, 0o700); err != nil {
			return fmt.Errorf("make folder: %w", err)
		}
		f, err := a.Issue(vmDir, life, ip)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "ip=%s cert=%s key=%s authority=%s\n", ip, f.Cert, f.Key, f.Authority)
	}
	return nil
}
