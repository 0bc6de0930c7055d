package main

import (
	"bufio"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"maddermill/internal/plugin"
	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// pluginCommand is how operators load, change and test policies.
func pluginCommand(config *string) *cobra.Command {
	root := &cobra.Command{
		Use:   "plugin",
		Short: "Load, use, test and remove policies in WebAssembly modules (docs/plugins.md)",
		Long:  "The modules and which of them is used are records of the state service that the settings\nfile (--config) names; controllers that have plug-ins switched on follow them.",
	}
	with := func(cmd *cobra.Command, f func(context.Context, *plugin.Catalog, io.Writer) error) error {
		ctx, store, limits, done, err := openState(cmd, *config, 0.2)
		if err != nil {
			return err
		}
		defer done()
		return f(ctx, &plugin.Catalog{Records: store, Limits: limits, Now: time.Now}, cmd.OutOrStdout())
	}
	var name, signer, queue, against string
	load := &cobra.Command{
		Use:   "load MODULE",
		Short: "Check a module and put it where all controllers find it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if name == "builtin" {
				return errors.New("--name: builtin always means the built-in policy")
			}
			code, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			box, err := plugin.Compile(cmd.Context(), code, plugin.DefaultBounds)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			defer func() { _ = box.Close(cmd.Context()) }() // the process ends anyway
			var signature []byte
			if signer != "" {
				key, err := readKey(signer)
				if err != nil {
					return err
				}
				signature = plugin.Sign(key, plugin.HashOf(code))
			}
			return with(cmd, func(ctx context.Context, c *plugin.Catalog, w io.Writer) error {
				h, err := c.Load(ctx, code, name, signature)
				if err == nil {
					fmt.Fprintf(w, "%s is loaded as %s\n", args[0], h)
				}
				return err
			})
		},
	}
	load.Flags().StringVar(&name, "name", "", "what to call it")
	load.Flags().StringVar(&signer, "sign", "", "sign it with the key in `FILE`, as plugin key wrote it")
	test := &cobra.Command{
		Use:   "test MODULE --queue FILE",
		Short: "Replay recorded queues through a module and print what it decides otherwise",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return testPolicy(cmd.Context(), args[0], against, queue, cmd.OutOrStdout())
		},
	}
	test.Flags().StringVar(&queue, "queue", "", "passes that a controller recorded with --record-queue, a `FILE`")
	test.Flags().StringVar(&against, "against", "", "compare with this `MODULE` and not with the built-in policy")
	root.AddCommand(
		load,
		test,
		&cobra.Command{Use: "list", Short: "List the loaded modules and tell which policy is used", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return with(cmd, func(ctx context.Context, c *plugin.Catalog, w io.Writer) error {
					all, r, err := c.List(ctx)
					if err != nil {
						return err
					}
					t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
					fmt.Fprintln(t, "MODULE\tNAME\tBYTES\tLOADED\tSIGNED\t")
					for _, m := range all {
						fmt.Fprintf(
							t,
							"%s\t%s\t%d\t%s\t%v\t\n",
							m.Hash.Short(),
							m.Name,
							m.Bytes,
							time.UnixMilli(int64(m.At)).UTC().Format(time.RFC3339),
							len(m.Signature) > 0,
						)
					}
					if err := t.Flush(); err != nil {
						return err
					}
					fmt.Fprintln(w, inUse(r))
					return nil
				})
			}},
		&cobra.Command{
			Use:   "use MODULE|builtin",
			Short: "Use a module once every controller has it, or the built-in policy at once",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return with(cmd, func(ctx context.Context, c *plugin.Catalog, w io.Writer) error {
					var h wire.ModuleHash
					var err error
					if args[0] != "builtin" {
						if h, err = c.Find(ctx, args[0]); err != nil {
							return err
						}
					}
					if err = c.Use(ctx, h); err == nil {
						err = await(ctx, c, w, h)
					}
					return err
				})
			},
		},
		&cobra.Command{
			Use:   "rollback",
			Short: "Go back to the policy before, or give up a change under way",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return with(cmd, func(ctx context.Context, c *plugin.Catalog, w io.Writer) error {
					if err := c.Rollback(ctx); err != nil {
						return err
					}
					r, err := c.Wait(ctx)
					fmt.Fprintln(w, inUse(r))
					return err
				})
			},
		},
		&cobra.Command{Use: "remove MODULE", Short: "Remove a module that is not needed", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return with(cmd, func(ctx context.Context, c *plugin.Catalog, w io.Writer) error {
					h, err := c.Find(ctx, args[0])
					if err == nil {
						err = c.Remove(ctx, h)
					}
					if err == nil {
						fmt.Fprintf(w, "%s is removed\n", h.Short())
					}
					return err
				})
			}},
		&cobra.Command{
			Use:   "sign MODULE KEY",
			Short: "Sign a module with the key in a file, and print the signature for the settings",
			Args:  cobra.ExactArgs(2),
			RunE: func(cmd *cobra.Command, args []string) error {
				code, err := os.ReadFile(args[0])
				if err != nil {
					return err
				}
				key, err := readKey(args[1])
				if err == nil {
					fmt.Fprintf(
						cmd.OutOrStdout(),
						"plugins { initial_signature: %q }\n",
						base64.StdEncoding.EncodeToString(plugin.Sign(key, plugin.HashOf(code))),
					)
				}
				return err
			},
		},
		&cobra.Command{
			Use:   "key FILE",
			Short: "Make a key to sign modules with, and print its public part for the settings",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				public, private, err := ed25519.GenerateKey(rand.Reader)
				if err != nil {
					return err
				}
				f, err := os.OpenFile(args[0], os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(f, base64.StdEncoding.EncodeToString(private.Seed()))
				if err = errors.Join(err, f.Close()); err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "plugins { public_keys: %q }\n", base64.StdEncoding.EncodeToString(public))
				}
				return err
			},
		},
	)
	return root
}

func inUse(r ledger.PolicyRecord) string {
	name := func(h wire.ModuleHash) string {
		if h == "" {
			return "the built-in policy"
		}
		return h.Short()
	}
	s := name(r.Use) + " is used"
	if r.Next != "" {
		s += ", and " + name(r.Next) + " once every controller has it"
	}
	if r.Why != "" {
		s += "; the last change was given up: " + r.Why
	}
	return s
}

// await waits until a change is over and tells what came of it.
func await(ctx context.Context, c *plugin.Catalog, w io.Writer, h wire.ModuleHash) error {
	r, err := c.Wait(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(w, inUse(r))
	if r.Use != h {
		return errors.New("the change was not completed")
	}
	return nil
}

func readKey(file string) (ed25519.PrivateKey, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(
		string(slices.DeleteFunc(b, func(c byte) bool { return c == '\n' || c == '\r' })),
	)
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("%s: is not a key as plugin key writes it", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// recorded is one pass as a controller records it, a line of JSON.
type recorded struct {
	At   int64  `json:"at"`
	Pass []byte `json:"pass"`
}

// testPolicy replays recorded passes and prints where two policies differ.
func testPolicy(ctx context.Context, module, against, queue string, w io.Writer) error {
	if queue == "" {
		return errors.New("--queue is missing")
	}
	open := func(file string) (func(*policy.Pass) ([]uint32, error), error) {
		if file == "" {
			return func(p *policy.Pass) ([]uint32, error) { return policy.Builtin(p), nil }, nil
		}
		code, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		box, err := plugin.Compile(ctx, code, plugin.DefaultBounds)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		return func(p *policy.Pass) ([]uint32, error) { return box.Order(ctx, p) }, nil
	}
	one, err := open(module)
	if err != nil {
		return err
	}
	other, err := open(against)
	if err != nil {
		return err
	}
	f, err := os.Open(queue)
	if err != nil {
		return err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(nil, 64<<20)
	passes, differ, failed := 0, 0, 0
	for in.Scan() {
		var r recorded
		if err := json.Unmarshal(in.Bytes(), &r); err != nil {
			return fmt.Errorf("%s: line %d: %w", queue, passes+1, err)
		}
		p, err := policy.Decode(r.Pass)
		if err != nil {
			return fmt.Errorf("%s: line %d: %w", queue, passes+1, err)
		}
		passes++
		a, err := one(p)
		if err != nil {
			failed++
			fmt.Fprintf(w, "pass %d (%d jobs): %v\n", passes, len(p.Jobs), err)
			continue
		}
		b, err := other(p)
		if err != nil {
			return fmt.Errorf("--against: %w", err)
		}
		moved, first := 0, -1
		for i := range a {
			if a[i] != b[i] {
				if moved++; first < 0 {
					first = i
				}
			}
		}
		if moved > 0 {
			differ++
			j, k := p.Jobs[a[first]], p.Jobs[b[first]]
			fmt.Fprintf(
				w,
				"pass %d at %s: %d of %d jobs elsewhere; place %d has %s of %s (expected %d s, waits %d s), and had %s of %s (expected %d s, waits %d s)\n",
				passes,
				time.UnixMilli(p.Now).UTC().Format(time.RFC3339),
				moved,
				len(a),
				first+1,
				p.Names[j.Class],
				p.Names[j.Team],
				j.Expected/1000,
				j.Waiting/1000,
				p.Names[k.Class],
				p.Names[k.Team],
				k.Expected/1000,
				k.Waiting/1000,
			)
		}
	}
	fmt.Fprintf(w, "%d passes, %d decided otherwise, %d failed\n", passes, differ, failed)
	if failed > 0 {
		err = errors.New("the module failed")
	}
	return errors.Join(err, in.Err())
}
