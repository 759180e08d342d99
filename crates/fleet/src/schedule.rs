//! What happens when, in an order that the seed alone decides.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cyclamen_types::Mono;

/// Something that happens at a time; equal times keep the order in which they were pushed.
#[derive(Debug)]
struct Entry<T> {
    at: Mono,
    number: u64,
    what: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// The things still to happen.
#[derive(Debug)]
pub(crate) struct Schedule<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    pushed: u64,
}

impl<T> Default for Schedule<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), pushed: 0 }
    }
}

impl<T> Schedule<T> {
    pub(crate) fn push(&mut self, at: Mono, what: T) {
        self.pushed += 1;
        self.heap.push(Reverse(Entry { at, number: self.pushed, what }));
    }

    /// The next thing that happens by `until`, with its time.
    pub(crate) fn pop(&mut self, until: Mono) -> Option<(Mono, T)> {
        if self.heap.peek().is_none_or(|Reverse(entry)| entry.at > until) {
            return None;
        }
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.what))
    }
}
