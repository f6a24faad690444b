package standin2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainServer is a server of a plain service. It runs up to slots requests at once, queues
// a few more and refuses the others with Not-Executed. While isFaulty is set it sends, for a
// share of its answers, a second copy where the next answer on the connection is expected.
type plainServer struct {
	id, zone string
	listener net.Listener
	record   *journal
	slots    int
	queue    int
	work     func() time.Duration

	mu       sync.Mutex
	running  int
	waiting  int
	changed  *sync.Cond
	isFaulty bool
	share    float64
	random   *rand.Rand
	copies   int
	refusals int
}

func startPlain(id, zone, address string, slots, queue int, work func() time.Duration, seed uint64, record *journal) (*plainServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &plainServer{
		id: id, zone: zone, listener: listener, record: record, slots: slots, queue: queue, work: work,
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *plainServer) setFaulty(faulty bool, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isFaulty, s.share = faulty, share
}

// acquire takes a slot, after a wait in the queue if there is room, and reports whether the
// request may run.
func (s *plainServer) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		if s.waiting >= s.queue {
			s.refusals++
			return false
		}
		s.waiting++
		for s.running >= s.slots {
			s.changed.Wait()
		}
		s.waiting--
	}
	s.running++
	return true
}

func (s *plainServer) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.changed.Signal()
}

// drawsCopy reports whether a second copy of an answer is sent.
func (s *plainServer) drawsCopy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isFaulty || s.random.Float64() >= s.share {
		return false
	}
	s.copies++
	return true
}

// serve answers the requests of a connection, one at a time.
func (s *plainServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var copyOfLast string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		attempt := request.Header.Get("Attempt-Id")
		if copyOfLast != "" {
			// The extra answer stands where this request's answer is expected.
			if _, err := io.WriteString(conn, copyOfLast); err != nil {
				return
			}
			copyOfLast = ""
		}
		answer := s.answer(request, attempt)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if s.drawsCopy() {
			copyOfLast = answer
		}
	}
}

func (s *plainServer) answer(request *http.Request, attempt string) string {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		return response(421, attempt, "", "")
	}
	if attempt == "" {
		return response(400, attempt, "Not-Executed: 1\r\n", "")
	}
	if !s.acquire() {
		s.record.add("refused", attempt, s.id)
		return response(503, attempt, "Not-Executed: 1\r\n", "")
	}
	s.record.add("run", attempt, s.id)
	time.Sleep(s.work())
	s.release()
	return response(200, attempt, "Server-Stamp: "+stamp(s.id, attempt)+"\r\n", "result of "+attempt)
}

func stamp(server, attempt string) string { return server + "." + attempt }

func response(status int, attempt, headers, body string) string {
	if attempt != "" {
		headers += "Attempt-Id: " + attempt + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
}
