// Package weights stands in for the platform's weight store, which is limited
// in rate.
package weights

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// chunkBytes is how much is sent between two looks at the limiter.
const chunkBytes = 64 << 10

// Store is the stand-in.
type Store struct {
	limiter *rate.Limiter
	// sizes has the bytes of each model version's weights.
	sizes map[string]int64
}

// New returns a store with weights of those sizes, in bytes, that sends
// bytesPerSecond over all readers together.
func New(bytesPerSecond float64, sizes map[string]int64) *Store {
	return &Store{
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes),
		sizes:   sizes,
	}
}

// Register adds the route of the store to router.
func (store *Store) Register(router *mux.Router) {
	router.HandleFunc("/v1/weights/{model}", store.handleGet).Methods(http.MethodGet)
}

// Fetch reads the weights of a model without keeping them.
func (store *Store) Fetch(ctx context.Context, model string) error {
	left, ok := store.sizes[model]
	if !ok {
		return errors.Newf("weight store: no model %q", model)
	}
	for left > 0 {
		size := min(left, chunkBytes)
		err := store.limiter.WaitN(ctx, int(size))
		if err != nil {
			return errors.Wrap(err, "weight store")
		}
		left -= size
	}
	return nil
}

func (store *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	left, ok := store.sizes[mux.Vars(r)["model"]]
	if !ok {
		http.Error(w, "no such model", http.StatusNotFound)
		return
	}
	chunk := make([]byte, chunkBytes)
	for left > 0 {
		size := min(left, chunkBytes)
		if store.limiter.WaitN(r.Context(), int(size)) != nil {
			return
		}
		if _, err := w.Write(chunk[:size]); err != nil {
			return
		}
		left -= size
	}
}
