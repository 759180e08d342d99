//! Hash maps by the trust put in their keys.

use std::collections::HashMap;
use std::hash::RandomState;

/// A map keyed by our own names and indices: fast, not safe against chosen keys.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A set of our own names and indices.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;

/// A map whose keys a caller may choose: its hasher is seeded per process.
pub type SeededMap<K, V> = HashMap<K, V, RandomState>;
