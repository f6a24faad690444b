package transport

import (
	"io"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// firstPieceBytes is the size of the first piece of a body. Each further one is twice
	// as long, up to maxPieceBytes. A shorter body of a declared length is one piece.
	firstPieceBytes = 4 << 10
	maxPieceBytes   = 64 << 10
)

// ReadPayload reads a body to its end. It claims the memory of each piece before it reads
// it, so that a body takes memory only as it arrives. The declared length, in bytes, may
// be negative if it is unknown. ReadPayload fails with the error of claim or of the body,
// and returns what it has read.
func ReadPayload(body io.Reader, declared int64, claim func(bytes int64) error) (structs.Payload, error) {
	var payload structs.Payload
	total, size := int64(0), int64(firstPieceBytes)
	if declared <= maxPieceBytes {
		size = max(size, declared)
	}
	for {
		capacity := size
		if declared >= 0 {
			// One byte more than declared shows the end of a body that is whole.
			capacity = min(size, max(1, declared-total))
		}
		if err := claim(capacity); err != nil {
			return payload, err
		}
		piece, err := readPiece(body, int(capacity))
		if len(piece) > 0 {
			payload, total = append(payload, piece), total+int64(len(piece))
		}
		if err == io.EOF {
			return payload, nil
		}
		if err != nil {
			return payload, err
		}
		size = min(2*size, maxPieceBytes)
	}
}

// readPiece reads until a piece is full or the body ends or fails.
func readPiece(body io.Reader, capacity int) ([]byte, error) {
	piece := make([]byte, 0, capacity)
	for len(piece) < capacity {
		count, err := body.Read(piece[len(piece):capacity])
		piece = piece[:len(piece)+count]
		if err != nil {
			return piece, err
		}
	}
	return piece, nil
}
