package platformsim

import (
	"fmt"
	"net/http"

	"github.com/pathbend/pathbend/platform"
)

// countMalformedAnswers counts the malformed answers that samplers sent.
const countMalformedAnswers = "malformed answers sent"

// malformedHeads are the beginnings of answers that HTTP does not allow. The rest of each is that
// of a whole answer to the request.
var malformedHeads = []string{
	"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 +20 OK\r\n", "HTTP/1.1 101 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 999 OK\r\n",
	"HTTP/2.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nBroken Name: 1\r\n", "HTTP/1.1 200 OK\r\nBroken\tName: 1\r\n", "HTTP/1.1 200 OK\r\nBroken\x01Name: 1\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"HTTP/1.1 103 Early Hints\r\nBroken Name: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// sendMalformed answers a request with one of malformedHeads and closes the connection.
func (s *Sampler) sendMalformed(writer http.ResponseWriter, id string) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(err)
	}
	defer connection.Close()
	s.mutex.Lock()
	head := malformedHeads[s.random.IntN(len(malformedHeads))]
	s.mutex.Unlock()
	s.checker.Count(countMalformedAnswers)
	// The node may have closed the connection.
	_, _ = fmt.Fprintf(connection, "%s%s: %s\r\n%s: malformed\r\n%s: 1\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		head, platform.HeaderRequestID, id, platform.HeaderServerStamp, platform.HeaderWeightVersions)
}

// reportMalformed reports that a client received an answer that HTTP does not allow.
func (c *Checker) reportMalformed(result callResult, id string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recordViolation("MIXED", "request %s at %s got a malformed answer: %v", id, result.node, err)
}
