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
	// requestTimeout bounds a command's request to a controller.
	requestTimeout = 10 * time.Second
	// responseBytes bounds the body of a controller's response.
	responseBytes = 1 << 20
)

// addServerFlag adds the flag of users' commands that says where to send requests.
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

// view reads what a controller reports of itself: the one at server or, if that is empty, the one of a
// settings file.
func view(ctx context.Context, config, server, path string) ([]byte, error) {
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
	dialer, err := transport.NewDialer(responseBytes)
	if err != nil {
		return nil, err
	}
	defer dialer.Stop()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client := &http1.Client{Dialer: dialer, Addr: server, MaxBody: responseBytes}
	return client.Do(ctx, &http1.Request{Method: method, Path: path, Body: body})
}
