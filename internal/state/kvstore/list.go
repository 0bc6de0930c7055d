package kvstore

import (
	"context"

	"maddermill/wire"
)

// Lister is the part of Store that lists items.
type Lister interface {
	List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error)
}

// Each calls f for every item whose key has a prefix, in the order of keys, until f or a read fails, and
// returns that error. It reads pages of limit items, which may be of different revisions.
func Each(ctx context.Context, lister Lister, prefix string, limit int, f func(wire.Item) error) error {
	for after := ""; ; {
		page, err := lister.List(ctx, prefix, after, limit)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			after = item.Key
			if err := f(item); err != nil {
				return err
			}
		}
		if !page.More || len(page.Items) == 0 {
			return nil
		}
	}
}
