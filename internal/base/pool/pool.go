// Package pool is a typed sync.Pool for scratch values.
package pool

import "sync"

// Pool recycles values for short use.
type Pool[T any] struct {
	p *sync.Pool
}

// New returns a pool that makes values with fn.
func New[T any](fn func() T) Pool[T] {
	return Pool[T]{p: &sync.Pool{New: func() any {
		v := fn()
		return &v
	}}}
}

// Get returns a recycled or new value.
func (p Pool[T]) Get() T { return *p.p.Get().(*T) }

// Put returns a value to the pool; the caller must not use it afterwards.
func (p Pool[T]) Put(v T) { p.p.Put(&v) }
