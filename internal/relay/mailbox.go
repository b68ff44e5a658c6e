package relay

import "sync"

// mailbox is an unbounded queue between goroutines. Senders never block, so that the loop and the log,
// which send to each other, cannot deadlock. Its length stays limited because each message and each
// client has only few items in it at a time.
type mailbox[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{} // holds a value after put, until a receiver takes it
}

func newMailbox[T any]() *mailbox[T] { return &mailbox[T]{ready: make(chan struct{}, 1)} }

// put appends an item.
func (m *mailbox[T]) put(v T) {
	m.mu.Lock()
	m.items = append(m.items, v)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// takeAll empties the mailbox and returns its items. The mailbox reuses buffer for later items.
func (m *mailbox[T]) takeAll(buffer []T) []T {
	clear(buffer)
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = buffer[:0]
	return items
}
