package rpcserver

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"os"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// maxMessageBytes bounds one request. The largest is a batch job that is handed
// over with its texts.
const maxMessageBytes = 32 << 20

const (
	// freeMessageBytes is the length of a message for which nothing is claimed: most are
	// shorter, and it is part of the cost of a connection.
	freeMessageBytes = 4 << 10
	// messagePiece is how much of a longer one is read between two claims, and messageCost
	// how much memory a byte takes, encoded and decoded.
	messagePiece = 64 << 10
	messageCost  = 2
)

// errMessageTooLong means that a request exceeds maxMessageBytes.
var errMessageTooLong = errors.New("rpcserver: request too long")

// messageReader bounds the bytes that are read for one request.
type messageReader struct {
	reader    io.Reader
	remaining int
	// holding accounts for the message, of which claimed bytes may still be read.
	holding contract.Holding
	claimed int
	// sum is what has been claimed for the message.
	sum int64
}

// begin prepares for the next message. What was claimed for the last one belongs to its
// call.
func (m *messageReader) begin() {
	m.remaining, m.claimed, m.sum = maxMessageBytes, freeMessageBytes, 0
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if m.remaining <= 0 {
		return 0, errMessageTooLong
	}
	if m.claimed <= 0 {
		if err := m.holding.Claim(messageCost * messagePiece); err != nil {
			return 0, err
		}
		m.claimed += messagePiece
		m.sum += messageCost * messagePiece
	}
	n, err := m.reader.Read(p[:min(len(p), m.remaining, m.claimed)])
	m.remaining -= n
	m.claimed -= n
	return n, err
}

// connCodec reads and writes the messages of a connection in the encoding of
// net/rpc.
type connCodec struct {
	conn    net.Conn
	message *messageReader
	decoder *gob.Decoder

	mu      sync.Mutex
	writer  *bufio.Writer
	encoder *gob.Encoder
}

func newConnCodec(conn net.Conn, holding contract.Holding) *connCodec {
	c := &connCodec{conn: conn, message: &messageReader{reader: conn, holding: holding}, writer: bufio.NewWriter(conn)}
	c.decoder, c.encoder = gob.NewDecoder(bufio.NewReader(c.message)), gob.NewEncoder(c.writer)
	return c
}

// writeResponse writes the header and the body of a response.
func (c *connCodec) writeResponse(response *rpc.Response, body any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.encoder.Encode(response)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		// The stream of the encoder is broken.
		_ = c.conn.Close()
	}
	return errors.WithStack(err)
}

// callCodec is the codec of one call. The next call is read once this one has
// been read, so that calls are handled concurrently.
type callCodec struct {
	*connCodec
	// request is the header, once it has been read.
	request rpc.Request
	// readDone is called when the request has been read, or cannot be.
	readDone func(err error)
	answered bool
	// held is what is claimed for the request until the call ends.
	held int64
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *callCodec) ReadRequestHeader(request *rpc.Request) error {
	c.message.begin()
	err := c.decoder.Decode(request)
	c.request = *request
	if err != nil {
		c.readDone(err)
	}
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *callCodec) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	c.held = c.message.sum
	c.readDone(err)
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *callCodec) WriteResponse(response *rpc.Response, body any) error {
	c.answered = true
	return c.writeResponse(response, body)
}

// Close implements rpc.ServerCodec. The connection is closed by serveConn.
func (c *callCodec) Close() error { return nil }

// serveConn serves the calls of a connection until it is closed or sends what
// cannot be read, and answers those that run. A call that panics is answered
// with an error.
func (s *service) serveConn(conn net.Conn) {
	defer conn.Close()
	var calls conc.WaitGroup
	defer calls.Wait()
	codec := newConnCodec(conn, s.intake.OfConn(conn))
	for {
		read := make(chan error, 1)
		calls.Go(func() { s.serveCall(codec, func(err error) { read <- err }) })
		if err := <-read; err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
				s.log.WithError(err).WithField("peer", conn.RemoteAddr().String()).Info("Closing a connection that cannot be read.")
			}
			return
		}
	}
}

// serveCall reads and handles one call.
func (s *service) serveCall(conn *connCodec, readDone func(error)) {
	var once sync.Once
	call := &callCodec{connCodec: conn, readDone: func(err error) { once.Do(func() { readDone(err) }) }}
	// A call that ends without having been read must not block the connection.
	defer call.readDone(errors.WithStack(io.ErrUnexpectedEOF))
	defer func() { conn.message.holding.Release(call.held) }()
	returned := s.guard.Run("a call of another daemon", func() {
		// Errors were answered, or the connection is closed.
		_ = s.server.ServeRequest(call)
	})
	if !returned && !call.answered {
		response := &rpc.Response{ServiceMethod: call.request.ServiceMethod, Seq: call.request.Seq, Error: "the call panicked"}
		if err := call.writeResponse(response, struct{}{}); err != nil {
			s.log.WithError(err).Info("Could not answer a call that panicked.")
		}
	}
}
