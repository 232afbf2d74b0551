//! SplitMix64, as a stream of pseudo-random numbers and as a hash function. It is fixed, so that every gateway
//! derives the same order and choices from the same value.

/// Advances the state and returns the next pseudo-random number.
pub fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = *state;
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The hash of a value: the first number of a stream with this initial state.
pub fn splitmix64(mut value: u64) -> u64 {
    next_random(&mut value)
}
