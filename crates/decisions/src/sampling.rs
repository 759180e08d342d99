//! Selection of the successful calls to log.

/// Selects a fraction of the calls by a hash of the call id, so that all daemons that handle a call
/// make the same choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sampling {
    one_in: u64,
}

impl Sampling {
    /// Selects one call in `one_in` on average, or none if `one_in` is zero.
    pub fn new(one_in: u32) -> Self {
        Self { one_in: u64::from(one_in) }
    }

    /// Whether the call with this id is logged if it succeeds.
    pub fn selects(self, id: &[u8]) -> bool {
        if self.one_in == 0 {
            return false;
        }
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(id).as_bytes()[..8]);
        u64::from_le_bytes(first).is_multiple_of(self.one_in)
    }
}
