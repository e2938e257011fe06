//! The digest: one short row per member, sorted by id.

use balsam_types::Incarnation;

/// Maximum number of rows accepted in one digest; bounds the memory that bad input can use.
pub(crate) const MAX_ROWS: usize = 4_096;

/// Heartbeats are sent modulo this, which is 21 minutes.
pub(crate) const HEARTBEAT_RANGE: u64 = 1 << 16;

/// The newest state of one member that the sender knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Row {
    pub(crate) id: u32,
    pub(crate) heartbeat: u64,
    pub(crate) version: u64,
}

/// Hashes bytes to 64 bits; the result is the same on every node and in every build.
pub(crate) fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for part in parts {
        for byte in *part {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        hash = (hash ^ 0xff).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Returns the short id of a process.
///
/// With 100 members, the id of a new process collides with an existing one about once in 700,000
/// starts; the process is then not admitted until it restarts. With 26 bits, sorted ids take 3
/// bytes per row rather than 4.
pub(crate) fn short_id(node: &Incarnation) -> u32 {
    let start = node.start_ms.to_be_bytes();
    let nonce = node.nonce.to_be_bytes();
    stable_hash(&[node.vm.as_str().as_bytes(), &start, &nonce]) as u32 & 0x03ff_ffff
}

fn write_varint(out: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
}

fn read_varint(bytes: &mut &[u8]) -> Option<u64> {
    let mut value = 0_u64;
    for shift in (0..64).step_by(7) {
        let (&byte, rest) = bytes.split_first()?;
        *bytes = rest;
        value |= u64::from(byte & 0x7f).checked_shl(shift)?;
        if byte < 0x80 {
            return Some(value);
        }
    }
    None
}

/// Encodes the sender's own heartbeat and its age, followed by the rows sorted by id.
///
/// Rows hold only the low 16 bits of heartbeats and versions, because complete ones take 7 bytes
/// after 30 days. The receiver restores the rest, see
/// [`Entry::complete_heartbeat`](crate::entry::Entry::complete_heartbeat).
pub(crate) fn encode_rows(sender: (u64, u64), mut rows: Vec<Row>) -> Vec<u8> {
    if rows.is_empty() {
        return Vec::new();
    }
    rows.sort_unstable();
    let mut out = Vec::with_capacity(rows.len() * 9);
    write_varint(&mut out, sender.0);
    write_varint(&mut out, sender.1);
    let mut previous_id = 0_u32;
    for row in rows {
        write_varint(&mut out, u64::from(row.id.wrapping_sub(previous_id)));
        out.extend((row.heartbeat % HEARTBEAT_RANGE).to_le_bytes().into_iter().take(2));
        out.extend(row.version.to_le_bytes().into_iter().take(2));
        previous_id = row.id;
    }
    out
}

/// Decodes the sender's heartbeat and its age, and rows with only the low bits of heartbeats and
/// versions. Returns `None` if the bytes are truncated or hold too many rows.
pub(crate) fn decode_rows(mut bytes: &[u8]) -> Option<((u64, u64), Vec<Row>)> {
    let mut rows = Vec::new();
    if bytes.is_empty() {
        return Some(((0, 0), rows));
    }
    let sender = (read_varint(&mut bytes)?, read_varint(&mut bytes)?);
    let mut previous_id = 0_u32;
    while !bytes.is_empty() {
        if rows.len() == MAX_ROWS {
            return None;
        }
        let delta = u32::try_from(read_varint(&mut bytes)?).ok()?;
        let id = previous_id.wrapping_add(delta);
        let (counters, rest) = bytes.split_first_chunk::<4>()?;
        bytes = rest;
        let [first, second, third, fourth] = *counters;
        let heartbeat = u64::from(u16::from_le_bytes([first, second]));
        let version = u64::from(u16::from_le_bytes([third, fourth]));
        rows.push(Row { id, heartbeat, version });
        previous_id = id;
    }
    Some((sender, rows))
}
