package infra

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Endpoint is one address of the platform, with its store and its host list.
type Endpoint interface {
	Store
	HostList
}

// Failover implements Endpoint over several addresses of one platform. It uses
// one address until a call gets no answer there, and the next one after that.
// The failed call itself is not repeated, because a write may have taken effect
// and the caller has to read back whether it did.
type Failover struct {
	endpoints    []Endpoint
	currentIndex atomic.Uint32
}

// NewFailover returns a Failover that starts with the first of endpoints, of
// which there must be at least one.
func NewFailover(endpoints []Endpoint) *Failover { return &Failover{endpoints: endpoints} }

func (f *Failover) currentEndpoint() (Endpoint, uint32) {
	index := f.currentIndex.Load()
	return f.endpoints[index], index
}

// failOver moves on to the next address when err is an *UnavailableError, unless
// another call has already moved on from index.
func (f *Failover) failOver(index uint32, err error) {
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		f.currentIndex.CompareAndSwap(index, (index+1)%uint32(len(f.endpoints)))
	}
}

// Get implements Store.
func (f *Failover) Get(ctx context.Context, key string) (Entry, error) {
	endpoint, index := f.currentEndpoint()
	entry, err := endpoint.Get(ctx, key)
	f.failOver(index, err)
	return entry, err
}

// CompareAndSwap implements Store.
func (f *Failover) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (Entry, error) {
	endpoint, index := f.currentEndpoint()
	entry, err := endpoint.CompareAndSwap(ctx, key, revision, value)
	f.failOver(index, err)
	return entry, err
}

// Watch implements Store.
func (f *Failover) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	endpoint, index := f.currentEndpoint()
	entry, err := endpoint.Watch(ctx, key, after)
	if ctx.Err() == nil {
		f.failOver(index, err)
	}
	return entry, err
}

// Hosts implements HostList.
func (f *Failover) Hosts(ctx context.Context, after uint64, maxWait time.Duration) (Hosts, error) {
	endpoint, index := f.currentEndpoint()
	hosts, err := endpoint.Hosts(ctx, after, maxWait)
	if ctx.Err() == nil {
		f.failOver(index, err)
	}
	return hosts, err
}
