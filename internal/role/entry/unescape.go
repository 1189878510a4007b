package entry

import "bytes"

// unescape decodes the percent encodings and the JSON escapes of single bytes
// in text, and reports whether there were any. Anything else, a malformed
// escape too, stays as it is.
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

// unescapeByte returns the first byte that text stands for, and its length
// in text.
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
	if len(digits) < 2 || unhex(digits[0]) > 15 || unhex(digits[1]) > 15 {
		return text[0], 1
	}
	return unhex(digits[0])<<4 | unhex(digits[1]), len(text) - len(digits) + 2
}

// unhex returns the value of a hexadecimal digit, or a value above 15.
func unhex(c byte) byte {
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
