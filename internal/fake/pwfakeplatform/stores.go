package pwfakeplatform

import (
	"bytes"
	"context"
	"sync"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Objects is an in-memory object store.
type Objects struct {
	faults
	mu   sync.Mutex
	data map[string][]byte
}

// NewObjects returns an empty object store without faults.
func NewObjects() *Objects {
	return &Objects{
		data: map[string][]byte{},
	}
}

// Put writes one object whole.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	return o.call(ctx, func() error {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.data[key] = bytes.Clone(data)
		return nil
	})
}

// Get returns the data of one object.
func (o *Objects) Get(ctx context.Context, key string) (data []byte, err error) {
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
func (o *Objects) Delete(ctx context.Context, key string) error {
	return o.call(ctx, func() error {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.data, key)
		return nil
	})
}
