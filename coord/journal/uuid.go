package journal

import (
	"strconv"
	"time"
)

const (
	uuidLength       = 36
	uuidVersionIndex = 14
	uuidVariantIndex = 19
	uuidTimeHighEnd  = 8
	uuidTimeEnd      = 13
	timeLowBits      = 16
)

// Timestamp returns the timestamp of a UUIDv7 key, and false for other keys.
func (k Key) Timestamp() (time.Time, bool) {
	name := k.Name
	if len(name) != uuidLength || name[8] != '-' || name[13] != '-' || name[18] != '-' || name[23] != '-' {
		return time.Time{}, false
	}
	if name[uuidVersionIndex] != '7' || !isVariant(name[uuidVariantIndex]) {
		return time.Time{}, false
	}
	high, err := strconv.ParseUint(name[:uuidTimeHighEnd], 16, 32)
	if err != nil {
		return time.Time{}, false
	}
	low, err := strconv.ParseUint(name[uuidTimeHighEnd+1:uuidTimeEnd], 16, 16)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(high<<timeLowBits | low)), true
}

// isVariant reports whether a hexadecimal digit denotes the variant of RFC
// 9562.
func isVariant(digit byte) bool {
	switch digit {
	case '8', '9', 'a', 'b', 'A', 'B':
		return true
	}
	return false
}
