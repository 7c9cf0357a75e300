//! The one note between supervisors: demand by zone, as 32-bit floats, lowest byte first.

/// What a note may hold, whatever carries it.
const NOTE_BYTES: usize = 256;

/// Encodes demand in ops a second by zone; zones beyond a note's size are left out.
pub fn write_note(demand: &[f64]) -> Vec<u8> {
    let most = NOTE_BYTES / size_of::<f32>();
    demand.iter().take(most).flat_map(|d| (*d as f32).to_le_bytes()).collect()
}

/// Decodes what [`write_note`] wrote; `None` if these bytes are no such note.
pub fn read_note(bytes: &[u8]) -> Option<Vec<f64>> {
    let (floats, rest) = bytes.as_chunks::<4>();
    let demand: Vec<f64> = floats.iter().map(|f| f64::from(f32::from_le_bytes(*f))).collect();
    let sound = demand.iter().all(|d| d.is_finite() && *d >= 0.0);
    (sound && rest.is_empty() && bytes.len() <= NOTE_BYTES).then_some(demand)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against notes longer than a datagram may be, and against demand that is none.
    #[test]
    fn notes_are_read_back_and_others_are_none() {
        assert_eq!(read_note(&write_note(&[1.5, 0.0, 240.25])), Some(vec![1.5, 0.0, 240.25]));
        assert_eq!(write_note(&[1.0; 100]).len(), 256);
        for odd in [&b"hello"[..], &f32::NAN.to_le_bytes(), &(-1f32).to_le_bytes(), &[0; 260]] {
            assert_eq!(read_note(odd), None);
        }
    }
}
