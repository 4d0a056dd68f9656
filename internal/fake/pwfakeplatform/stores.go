package pwfakeplatform

import (
	"bytes"
	"context"
	"sync"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// ObjectStore is an in-memory object store.
type ObjectStore struct {
	faults
	mu   sync.Mutex
	data map[string][]byte
}

// NewObjectStore returns an empty object store without faults.
func NewObjectStore() *ObjectStore {
	return &ObjectStore{
		data: map[string][]byte{},
	}
}

// Put writes one object whole.
func (o *ObjectStore) Put(ctx context.Context, key string, data []byte) error {
	return o.call(ctx, func() error {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.data[key] = bytes.Clone(data)
		return nil
	})
}

// Get returns the data of one object.
func (o *ObjectStore) Get(ctx context.Context, key string) (data []byte, err error) {
	err = o.call(ctx, func() error {
		o.mu.Lock()
		defer o.mu.Unlock()
		stored, ok := o.data[key]
		if !ok {
			return pwverdict.New(pwverdict.Ran, pwverdict.CauseNotFound, "object %q does not exist", key)
		}
		data = bytes.Clone(stored)
		return nil
	})
	return data, err
}

// Delete removes one object. An object that does not exist is no error.
func (o *ObjectStore) Delete(ctx context.Context, key string) error {
	return o.call(ctx, func() error {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.data, key)
		return nil
	})
}
