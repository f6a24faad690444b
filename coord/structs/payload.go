package structs

// Payload is the body of a request in pieces, as they arrived. It is not changed once it
// is whole.
type Payload [][]byte

// PayloadOf returns a payload of one piece, which it does not copy.
func PayloadOf(body []byte) Payload {
	if len(body) == 0 {
		return nil
	}
	return Payload{body}
}

// Len returns the length in bytes.
func (p Payload) Len() int {
	length := 0
	for _, piece := range p {
		length += len(piece)
	}
	return length
}

// Bytes returns the payload in one piece, which is a copy if there are several.
func (p Payload) Bytes() []byte {
	if len(p) == 1 {
		return p[0]
	}
	joined := make([]byte, 0, p.Len())
	for _, piece := range p {
		joined = append(joined, piece...)
	}
	return joined
}
