//! Arithmetic of times and positions at their bounds.

use std::time::Duration;

use cyclamen_types::{ConfigVersion, Mono, Offset, Wall};

#[test]
fn mono_bounds() {
    let second = Duration::from_secs(1);
    assert_eq!(Mono::NEVER + second, Mono::NEVER);
    assert_eq!(Mono(5) - second, Mono(0));
    assert_eq!(Mono(0) + Duration::MAX, Mono::NEVER);
    assert_eq!(Mono(3).since(Mono(7)), Duration::ZERO);
    assert_eq!((Mono(7) + second).since(Mono(7)), second);
}

#[test]
fn wall_bounds() {
    assert_eq!(Wall(u64::MAX) + Duration::from_secs(1), Wall(u64::MAX));
    assert_eq!(Wall(3).since(Wall(7)), Duration::ZERO);
    assert_eq!(Wall(1_500).since(Wall(500)), Duration::from_secs(1));
}

#[test]
fn version_after_offset() {
    assert_eq!(Offset(0).version_after(), ConfigVersion(1));
    assert_eq!(Offset(6).version_after().next_offset(), Offset(7));
    assert_eq!(ConfigVersion::NONE.next_offset(), Offset(0));
}
