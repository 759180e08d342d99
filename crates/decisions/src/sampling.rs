//! Which calls that went well are written.

/// One call in so many, chosen by its id, so that all daemons of a call choose alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sampling {
    one_in: u64,
}

impl Sampling {
    /// One call in `one_in`; none where that is zero.
    pub fn new(one_in: u32) -> Self {
        Self { one_in: u64::from(one_in) }
    }

    /// Whether a call of this id is written though it went well.
    pub fn takes(self, id: &[u8]) -> bool {
        if self.one_in == 0 {
            return false;
        }
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(id).as_bytes()[..8]);
        u64::from_le_bytes(first).is_multiple_of(self.one_in)
    }
}
