package edge

import (
	"context"
	"net/http"
)

// StoppingError is the cause of the end of a request that still runs when the time for
// the stop of this host is nearly over.
type StoppingError struct{}

// Error implements error.
func (*StoppingError) Error() string { return "this host stops" }

// endAtStop returns a handler that ends the context of each request when stopped ends, so
// that the request is answered before the process ends.
func endAtStop(stopped context.Context, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		detach := context.AfterFunc(stopped, func() { cancel(&StoppingError{}) })
		defer detach()
		handler.ServeHTTP(w, r.WithContext(ctx))
	})
}
