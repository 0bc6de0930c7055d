package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"maddermill/internal/settings"
	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "maddermill", version) }}
}

func checkCommand(config, operators *string) *cobra.Command {
	return &cobra.Command{
		Use:   "check --config FILE [--operators FILE]",
		Short: "Check settings files and name what is wrong",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if *config == "" {
				return errors.New("--config is missing")
			}
			s, err := settings.Load(*config, *operators)
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: settings of %s are valid\n", *config, s.Member)
			}
			return err
		},
	}
}

func jobCommand() *cobra.Command {
	var server string
	job := &cobra.Command{Use: "job", Short: "Submit, look at and cancel jobs"}
	job.PersistentFlags().StringVar(&server, "server", "127.0.0.1:8080", "a controller's or load balancer's `ADDRESS`")
	call := func(cmd *cobra.Command, method, path string, body []byte) error {
		p, err := request(server, method, path, body)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s\n", p.Body)
		if p.Status/100 != 2 {
			return fmt.Errorf("status %d", p.Status)
		}
		return nil
	}
	job.AddCommand(
		&cobra.Command{
			Use:   "submit FILE",
			Short: "Submit the job that FILE describes in JSON (- for standard input)",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				body, err := readFile(args[0])
				if err != nil {
					return err
				}
				spec, err := wire.DecodeJobSpec(body)
				if err != nil {
					return fmt.Errorf("%s: %w", args[0], err)
				}
				if body, err = json.Marshal(spec); err != nil {
					return err
				}
				return call(cmd, "POST", "/api/jobs", body)
			},
		},
		&cobra.Command{Use: "get ID", Short: "Print a job's state", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error { return call(cmd, "GET", "/api/jobs/"+args[0], nil) }},
		&cobra.Command{Use: "cancel ID", Short: "Cancel a job", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return call(cmd, "POST", "/api/jobs/"+args[0]+"/cancel", nil)
			}},
	)
	return job
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, http1.MaxBody+1))
	}
	return os.ReadFile(name)
}

// view reads what a controller tells of itself: the one at server or, if that is empty, the one of
// a settings file.
func view(config, server, path string) ([]byte, error) {
	if server == "" {
		if config == "" {
			return nil, errors.New("--config or --server is missing")
		}
		s, err := settings.Load(config, "")
		if err != nil {
			return nil, err
		}
		server = s.Bind
	}
	p, err := request(server, "GET", path, nil)
	if err != nil {
		return nil, err
	}
	if p.Status != 200 {
		return nil, fmt.Errorf("status %d: %s", p.Status, p.Body)
	}
	return p.Body, nil
}

func request(server, method, path string, body []byte) (*http1.Response, error) {
	d, err := transport.NewDialer(1 << 20)
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := &http1.Client{Dialer: d, Addr: server, MaxBody: 1 << 20}
	return c.Do(ctx, &http1.Request{Method: method, Path: path, Body: body})
}
