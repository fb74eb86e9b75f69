//! Reading of flat JSON objects: the requests that the stand-ins get have no nested fields.

/// Value of a text or number field of an object; none if it is missing.
pub fn field(body: &[u8], name: &str) -> Option<String> {
    let text = String::from_utf8_lossy(body);
    let marker = format!("\"{name}\":");
    let rest = text.get(text.find(&marker)? + marker.len()..)?.trim_start();
    if let Some(quoted) = rest.strip_prefix('"') {
        return Some(String::from(&quoted[..quoted.find('"')?]));
    }
    let end = rest.find([',', '}', ']']).unwrap_or(rest.len());
    Some(String::from(rest[..end].trim()))
}

/// Value of a number field; 0 if it is missing.
pub fn number(body: &[u8], name: &str) -> u64 {
    field(body, name).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Base64 of some bytes.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number =
            (0..3).fold(0u32, |sum, at| sum << 8 | u32::from(*chunk.get(at).unwrap_or(&0)));
        for at in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
