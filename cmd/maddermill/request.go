package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"maddermill/internal/settings"
	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
)

const (
	// requestTimeout limits the duration of a request to a controller.
	requestTimeout = 10 * time.Second
	// maxResponseBytes limits the body of a controller's response.
	maxResponseBytes = 1 << 20
)

// addServerFlag adds the --server flag, the address to which users' commands send requests.
func addServerFlag(cmd *cobra.Command, server *string) {
	cmd.PersistentFlags().StringVar(server, "server", "127.0.0.1:8080", "a controller's or load balancer's `ADDRESS`")
}

// readFile reads a file, or standard input if its name is "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, http1.MaxBody+1))
	}
	return os.ReadFile(name)
}

// getView sends a GET request for a status view of a controller: the one at server or, if that is empty,
// the one that the settings file config configures. It returns the response body.
func getView(ctx context.Context, config, server, path string) ([]byte, error) {
	if server == "" {
		if config == "" {
			return nil, errors.New("--config or --server is missing")
		}
		set, err := settings.Load(config, "")
		if err != nil {
			return nil, err
		}
		server = set.Bind
	}
	response, err := request(ctx, server, "GET", path, nil)
	if err != nil {
		return nil, err
	}
	if response.Status != 200 {
		return nil, fmt.Errorf("status %d: %s", response.Status, response.Body)
	}
	return response.Body, nil
}

// request sends one request to a controller.
func request(ctx context.Context, server, method, path string, body []byte) (*http1.Response, error) {
	dialer, err := transport.NewDialer(maxResponseBytes)
	if err != nil {
		return nil, err
	}
	defer dialer.Stop()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client := &http1.Client{Dialer: dialer, Addr: server, MaxBody: maxResponseBytes}
	return client.Do(ctx, &http1.Request{Method: method, Path: path, Body: body})
}
