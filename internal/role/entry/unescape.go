package entry

import "bytes"

// unescape decodes percent-encoded bytes and JSON escapes of the form \u00XX in
// text, and reports whether there were any. Everything else, including malformed
// escapes, is kept.
func unescape(text []byte) ([]byte, bool) {
	if bytes.IndexByte(text, '%') < 0 && !bytes.Contains(text, []byte(`\u00`)) {
		return text, false
	}
	out := make([]byte, 0, len(text))
	for i := 0; i < len(text); {
		b, n := unescapeByte(text[i:])
		out = append(out, b)
		i += n
	}
	return out, len(out) < len(text)
}

// unescapeByte decodes the first byte of text and returns it with the length of its
// encoding. text must not be empty.
func unescapeByte(text []byte) (byte, int) {
	digits := text
	switch {
	case text[0] == '%':
		digits = text[1:]
	case bytes.HasPrefix(text, []byte(`\u00`)):
		digits = text[4:]
	default:
		return text[0], 1
	}
	if len(digits) < 2 || hexValue(digits[0]) > 15 || hexValue(digits[1]) > 15 {
		return text[0], 1
	}
	return hexValue(digits[0])<<4 | hexValue(digits[1]), len(text) - len(digits) + 2
}

// hexValue returns the value of a hexadecimal digit, or 16 if c is not one.
func hexValue(c byte) byte {
	switch {
	case '0' <= c && c <= '9':
		return c - '0'
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10
	}
	return 16
}
