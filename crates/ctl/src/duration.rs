//! Formats durations for operators.

/// Formats a duration of `seconds` in its two largest units of d, h, min and s.
pub(crate) fn duration(seconds: f64) -> String {
    const MINUTE: u64 = 60;
    const HOUR: u64 = 60 * MINUTE;
    const DAY: u64 = 24 * HOUR;
    let seconds = seconds as u64;
    match seconds {
        0..MINUTE => format!("{seconds} s"),
        MINUTE..HOUR => format!("{} min {} s", seconds / MINUTE, seconds % MINUTE),
        HOUR..DAY => format!("{} h {} min", seconds / HOUR, seconds % HOUR / MINUTE),
        _ => format!("{} d {} h", seconds / DAY, seconds % DAY / HOUR),
    }
}
