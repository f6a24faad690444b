package journal

import (
	"strconv"
	"time"
)

const (
	uuidLength      = 36
	uuidVersionAt   = 14
	uuidVariantAt   = 19
	uuidTimeHigh    = 8
	uuidTimeEnd     = 13
	millisBitsShort = 16
)

// Timestamp returns the time that a UUIDv7 key bears, and false for other keys.
func (k Key) Timestamp() (time.Time, bool) {
	name := k.Name
	if len(name) != uuidLength || name[8] != '-' || name[13] != '-' || name[18] != '-' || name[23] != '-' {
		return time.Time{}, false
	}
	if name[uuidVersionAt] != '7' || !isVariant(name[uuidVariantAt]) {
		return time.Time{}, false
	}
	high, err := strconv.ParseUint(name[:uuidTimeHigh], 16, 32)
	if err != nil {
		return time.Time{}, false
	}
	low, err := strconv.ParseUint(name[uuidTimeHigh+1:uuidTimeEnd], 16, 16)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(high<<millisBitsShort | low)), true
}

// isVariant reports whether a digit marks the variant of RFC 9562.
func isVariant(digit byte) bool {
	switch digit {
	case '8', '9', 'a', 'b', 'A', 'B':
		return true
	}
	return false
}
