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
	// commandShare is the part of the state service's requests and changes per second that commands
	// without a flag for it take.
	commandShare = 0.2
	// commandBodyBytes bounds an answer of the state service to a command.
	commandBodyBytes = 64 << 20
)

// records is the state service as commands use it.
type records struct {
	store  *kvstore.Client
	limits ledger.Limits
}

// withRecords calls f with the state service that a settings file names, limited to a share of its
// requests and changes per second. The context of f ends on SIGINT and SIGTERM.
func withRecords(
	cmd *cobra.Command,
	config string,
	share float64,
	f func(ctx context.Context, r records) error,
) error {
	if config == "" {
		return errors.New("--config is missing")
	}
	if !(share > 0 && share <= 1) {
		return fmt.Errorf("--share: %g is not above 0 and up to 1", share)
	}
	set, err := settings.Load(config, "")
	if err != nil {
		return err
	}
	dialer, err := transport.NewDialer(commandBodyBytes)
	if err != nil {
		return err
	}
	defer dialer.Stop()
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	client := &http1.Client{Dialer: dialer, Addr: set.Outside.State, MaxIdle: 2, MaxBody: commandBodyBytes}
	quota := set.Cluster.State
	store := kvstore.NewClient(client, client, quota.RPS*share, quota.WriteRPS*share, 1, quota.TxnOps)
	return f(ctx, records{store, controller.Limits(set)})
}
