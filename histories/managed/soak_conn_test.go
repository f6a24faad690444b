package managed

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// soakConn is a connection of a client that sends each request once and keeps the connection
// open until the other side closes it.
type soakConn struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// soakAnswer is the response to a request; a status of 0 means none. isCut is set if the
// connection ended before the response was whole.
type soakAnswer struct {
	status int
	header http.Header
	body   string
	isCut  bool
}

func (c *soakConn) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request to an address, and waits for its response for as long as patience.
func (c *soakConn) send(address, method, hostname, path string, header map[string]string, body string, patience time.Duration) soakAnswer {
	if c.address != address {
		c.close()
		c.address = address
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", address, patience)
		if err != nil {
			return soakAnswer{}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	request, err := http.NewRequest(method, "http://"+hostname+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	err = request.Write(c.conn)
	var answer soakAnswer
	if err == nil {
		answer, err = c.read(request)
	}
	if err != nil {
		answer.isCut = !errors.Is(err, os.ErrDeadlineExceeded)
		c.close()
	}
	return answer
}

func (c *soakConn) read(request *http.Request) (soakAnswer, error) {
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return soakAnswer{}, err
	}
	body, err := io.ReadAll(response.Body)
	if response.Close {
		defer c.close()
	}
	return soakAnswer{status: response.StatusCode, header: response.Header, body: string(body)}, err
}
