package relay

import "bytes"

// Escaping of record markers in bodies. After a damaged record, reading continues at the next marker
// that begins a valid record. A marker in a body could make data of a client read as a record, so
// bodies hold none: a zero byte is inserted after the first byte of each marker. If zero bytes are
// between that byte and the rest of a marker already, one more is inserted.

// markerEscape is the byte that is inserted into a marker.
const markerEscape = 0

// markerTail is a marker without its first byte.
var markerTail = []byte(recordMarker[1:])

// markerPrefixBytes returns 0 if data does not begin with a marker, escaped or not. Otherwise it
// returns the number of bytes before the marker's tail: its first byte and the zero bytes after that.
func markerPrefixBytes(data []byte) int {
	if len(data) == 0 || data[0] != recordMarker[0] {
		return 0
	}
	end := 1
	for end < len(data) && data[end] == markerEscape {
		end++
	}
	if !bytes.HasPrefix(data[end:], markerTail) {
		return 0
	}
	return end
}

// escapeCount is the number of bytes that escaping adds to a body.
func escapeCount(body []byte) (n int) {
	for {
		at := bytes.IndexByte(body, recordMarker[0])
		if at < 0 {
			return n
		}
		if markerPrefixBytes(body[at:]) > 0 {
			n++
		}
		body = body[at+1:]
	}
}

// escapeMarkers returns the body with its markers escaped.
func escapeMarkers(body []byte) []byte {
	escaped := make([]byte, 0, len(body)+escapeCount(body))
	for at := range body {
		escaped = append(escaped, body[at])
		if markerPrefixBytes(body[at:]) > 0 {
			escaped = append(escaped, markerEscape)
		}
	}
	return escaped
}

// unescapeMarkers reverts escapeMarkers.
func unescapeMarkers(escaped []byte) []byte {
	body := make([]byte, 0, len(escaped))
	for at := 0; at < len(escaped); at++ {
		body = append(body, escaped[at])
		if markerPrefixBytes(escaped[at:]) > 1 {
			at++ // skip the inserted zero byte
		}
	}
	return body
}
