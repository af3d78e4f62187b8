package standin

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"time"
)

// clientPatience is how long a client waits for the answer to a request.
const clientPatience = 400 * time.Millisecond

// Message is one message that a client hands in.
type Message struct {
	ID, Class string
	Dest      int
	Life      time.Duration
	Body      []byte

	SentAt time.Time
	Reply  string // the node's answer; empty if there was none
}

// Accepted reports whether the node has taken the message on.
func (m *Message) Accepted() bool { return strings.HasPrefix(m.Reply, "+") }

// Due returns when the message's time is up.
func (m *Message) Due() time.Time { return m.SentAt.Add(m.Life) }

// NewID returns a new message ID or key.
func NewID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// Client hands messages in to a node, each on a connection of its own that it closes after the answer.
type Client struct {
	record *Record
	addr   string
}

// NewClient returns a client of the node at an address.
func NewClient(record *Record, addr string) *Client { return &Client{record, addr} }

// Ping reports whether the node answers PING.
func (c *Client) Ping() bool {
	reply, _ := c.request([]byte("*1\r\n$4\r\nPING\r\n"))
	return reply == "+PONG"
}

// Submit hands a message in and waits for the answer.
func (c *Client) Submit(m *Message) {
	fields := fmt.Sprintf("c=%s,t=kanoresearch,d=%d,k=%s,dest=%d", m.Class, m.Life.Milliseconds(), NewID(), m.Dest)
	var b bytes.Buffer
	fmt.Fprintf(&b, "*5\r\n")
	for _, arg := range [][]byte{[]byte("ENQUEUE"), []byte("0000000000000000"), []byte(m.ID), []byte(fields), m.Body} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	m.SentAt = time.Now()
	reply, err := c.request(b.Bytes())
	m.Reply = reply
	c.record.Add("client: %s class %s dest %d life %v body %d bytes: answer %q %v", m.ID, m.Class, m.Dest, m.Life, len(m.Body), reply, err)
}

func (c *Client) request(raw []byte) (string, error) {
	conn, err := net.DialTimeout("tcp", c.addr, clientPatience)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(clientPatience))
	if _, err := conn.Write(raw); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}
