//! The data of a request, which its answer repeats.

/// The data of a request.
pub fn encode(request: u64) -> Vec<u8> {
    request.to_be_bytes().to_vec()
}

/// The number of a request.
pub fn request(data: &[u8]) -> Option<u64> {
    data.try_into().ok().map(u64::from_be_bytes)
}
