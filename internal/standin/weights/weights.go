// Package weights simulates the platform's store of model weights, whose
// bandwidth is limited.
package weights

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// chunkBytes is the number of bytes sent per check of the rate limiter, and its burst size.
const chunkBytes = 64 << 10

// Store is a simulated weight store. It is safe for concurrent use.
type Store struct {
	limiter *rate.Limiter
	// sizes has the size of the weights of each model version, in bytes.
	sizes map[string]int64
}

// New returns a store with the given sizes of weights, in bytes by model
// version. bytesPerSecond limits the total bandwidth of all readers.
func New(bytesPerSecond float64, sizes map[string]int64) *Store {
	return &Store{
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes),
		sizes:   sizes,
	}
}

// Register adds the store's HTTP route to router.
func (store *Store) Register(router *mux.Router) {
	router.HandleFunc("/v1/weights/{model}", store.handleGet).Methods(http.MethodGet)
}

// Fetch takes the time that a download of a model's weights takes, and discards
// the data. It returns an error if the model is unknown or ctx is done.
func (store *Store) Fetch(ctx context.Context, model string) error {
	remaining, ok := store.sizes[model]
	if !ok {
		return errors.Newf("weight store: no model %q", model)
	}
	for remaining > 0 {
		size := min(remaining, chunkBytes)
		err := store.limiter.WaitN(ctx, int(size))
		if err != nil {
			return errors.Wrap(err, "weight store")
		}
		remaining -= size
	}
	return nil
}

func (store *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	remaining, ok := store.sizes[mux.Vars(r)["model"]]
	if !ok {
		http.Error(w, "no such model", http.StatusNotFound)
		return
	}
	chunk := make([]byte, chunkBytes)
	for remaining > 0 {
		size := min(remaining, chunkBytes)
		if store.limiter.WaitN(r.Context(), int(size)) != nil {
			return
		}
		if _, err := w.Write(chunk[:size]); err != nil {
			return
		}
		remaining -= size
	}
}
