package kvstore

import (
	"context"

	"maddermill/wire"
)

// Each calls f for every item under a prefix, by key, until f fails. So many items are asked for
// at once at the most; pages may be of different revisions.
func Each(ctx context.Context, from interface {
	List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error)
}, prefix string, limit int, f func(wire.Item) error) error {
	for after := ""; ; {
		page, err := from.List(ctx, prefix, after, limit)
		if err != nil {
			return err
		}
		for _, it := range page.Items {
			after = it.Key
			if err := f(it); err != nil {
				return err
			}
		}
		if !page.More || len(page.Items) == 0 {
			return nil
		}
	}
}
