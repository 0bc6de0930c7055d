package main

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"maddermill/internal/controller"
	"maddermill/internal/settings"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
)

const (
	// defaultShare is the share of the state service's request and write rate limits that commands
	// without a --share flag may use.
	defaultShare = 0.2
	// maxStateBodyBytes limits the body of a response of the state service to a command.
	maxStateBodyBytes = 64 << 20
)

// stateClient is a client of the state service with the limits of its records.
type stateClient struct {
	store  *kvstore.Client
	limits ledger.Limits
}

// withStateClient calls f with a client of the state service that a settings file names, limited to a
// share of the service's request and write rates. The context of f is cancelled on SIGINT and SIGTERM.
func withStateClient(
	cmd *cobra.Command,
	config string,
	share float64,
	f func(ctx context.Context, c stateClient) error,
) error {
	if config == "" {
		return errors.New("--config is missing")
	}
	if !(share > 0 && share <= 1) {
		return fmt.Errorf("--share: %g must be greater than 0 and at most 1", share)
	}
	set, err := settings.Load(config, "")
	if err != nil {
		return err
	}
	dialer, err := transport.NewDialer(maxStateBodyBytes)
	if err != nil {
		return err
	}
	defer dialer.Stop()
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	client := &http1.Client{Dialer: dialer, Addr: set.Outside.State, MaxIdle: 2, MaxBody: maxStateBodyBytes}
	quota := set.Cluster.State
	store := kvstore.NewClient(client, client, quota.RPS*share, quota.WriteRPS*share, 1, quota.TxnOps)
	return f(ctx, stateClient{store, controller.Limits(set)})
}
