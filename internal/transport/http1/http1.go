// Package http1 parses and writes the HTTP/1.1 that maddermill speaks: requests
// and responses with bounded lines, headers and bodies, and no more than that.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits of what a peer may send.
const (
	MaxLine   = 8 << 10  // a request line or a header line
	MaxHeader = 32 << 10 // all header lines together
	MaxBody   = 64 << 10 // a request's body
)

// Error is a request or response that can't be taken. Status is what a server
// answers; after it the framing is lost and the connection must be closed.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http1: %s (%d)", e.Reason, e.Status) }

// Header is a list of header fields, names in lower case.
type Header []Field

// Field is one header field.
type Field struct{ Name, Value string }

// Get returns the first value of a field, named in lower case.
func (h Header) Get(name string) string {
	for _, f := range h {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

func (h Header) hasToken(name, token string) bool {
	for _, f := range h {
		if f.Name != name {
			continue
		}
		for part := range strings.SplitSeq(f.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// Request is one request.
type Request struct {
	Method string
	Path   string // without the query
	Query  string
	Header Header
	Body   []byte
	Close  bool // the connection ends after the answer
}

// Response is one response.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool
}

// The versions of the protocol that are accepted.
const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// ReadRequest reads one request. At a clean end before its first byte it
// returns io.EOF. proceed is called when the peer waits for "100 Continue".
func ReadRequest(r *bufio.Reader, proceed func() error) (*Request, error) {
	line, err := readLine(r, MaxLine)
	if err == nil && len(line) == 0 {
		line, err = readLine(r, MaxLine) // one stray empty line is forgiven
	}
	if err != nil {
		return nil, err
	}
	q, version, err := parseRequestLine(string(line))
	if err != nil {
		return nil, err
	}
	if q.Header, err = readHeader(r); err != nil {
		return nil, err
	}
	q.Close = closes(q.Header, version)
	framed, err := bodyFraming(q.Header)
	if err != nil {
		return nil, err
	}
	if framed.length > MaxBody {
		return nil, &Error{413, "body too large"}
	}
	if (framed.length > 0 || framed.chunked) && proceed != nil && q.Header.hasToken("expect", "100-continue") {
		if err := proceed(); err != nil {
			return nil, err
		}
	}
	q.Body, err = readBody(r, framed, MaxBody)
	return q, err
}

// parseRequestLine parses method, target and version.
func parseRequestLine(line string) (q *Request, version string, err error) {
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	if !hasTarget || !hasVersion || method == "" || !isToken(method) || !strings.HasPrefix(target, "/") ||
		strings.ContainsAny(target, " \t") {
		return nil, "", &Error{400, "malformed request line"}
	}
	if version != version11 && version != version10 {
		return nil, "", &Error{400, "unknown protocol version"}
	}
	q = &Request{Method: method}
	q.Path, q.Query, _ = strings.Cut(target, "?")
	return q, version, nil
}

// closes reports whether the connection ends after the message.
func closes(h Header, version string) bool {
	return h.hasToken("connection", "close") || version == version10
}

// ReadResponse reads one response, past interim ones, whose body may be at most maxBody bytes.
func ReadResponse(r *bufio.Reader, maxBody int) (*Response, error) {
	for {
		p, version, err := readResponseHead(r)
		if err != nil {
			return nil, err
		}
		if p.Status < 200 {
			continue
		}
		p.Close = closes(p.Header, version)
		if p.Status == 204 || p.Status == 304 {
			return p, nil
		}
		if err := readResponseBody(r, p, maxBody); err != nil {
			return nil, err
		}
		return p, nil
	}
}

// readResponseHead reads status line and header.
func readResponseHead(r *bufio.Reader) (p *Response, version string, err error) {
	line, err := readLine(r, MaxLine)
	if err != nil {
		return nil, "", err
	}
	version, rest, _ := strings.Cut(string(line), " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || status < 100 || status > 599 || !strings.HasPrefix(version, "HTTP/1.") {
		return nil, "", &Error{502, "malformed status line"}
	}
	p = &Response{Status: status}
	p.Header, err = readHeader(r)
	return p, version, err
}

// readResponseBody reads the body of a response whose header is read. A body without a length ends with
// the connection.
func readResponseBody(r *bufio.Reader, p *Response, maxBody int) error {
	framed, err := bodyFraming(p.Header)
	if err != nil {
		return err
	}
	if !framed.chunked && !framed.given {
		p.Close = true
		p.Body, err = io.ReadAll(io.LimitReader(r, int64(maxBody)+1))
		if err == nil && len(p.Body) > maxBody {
			err = &Error{413, "body too large"}
		}
		return err
	}
	if framed.length > maxBody {
		return &Error{413, "body too large"}
	}
	p.Body, err = readBody(r, framed, maxBody)
	return err
}

// framing tells how a message's body is delimited.
type framing struct {
	length  int
	given   bool
	chunked bool
}

func bodyFraming(h Header) (framing, error) {
	var f framing
	for _, field := range h {
		switch field.Name {
		case "content-length":
			n, err := strconv.ParseUint(field.Value, 10, 62)
			if err != nil || field.Value[0] == '+' {
				return f, &Error{400, "bad content length"}
			}
			if f.given && f.length != int(n) {
				return f, &Error{400, "two content lengths"}
			}
			f.given, f.length = true, int(n)
		case "transfer-encoding":
			if !strings.EqualFold(field.Value, "chunked") || f.chunked {
				return f, &Error{400, "unknown transfer encoding"}
			}
			f.chunked = true
		}
	}
	if f.given && f.chunked {
		// Two framings at once are how requests are smuggled past others.
		return f, &Error{400, "content length with transfer encoding"}
	}
	return f, nil
}

func readBody(r *bufio.Reader, f framing, maxBody int) ([]byte, error) {
	if !f.chunked {
		if f.length == 0 {
			return nil, nil
		}
		body := make([]byte, f.length)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, unexpected(err)
		}
		return body, nil
	}
	var body []byte
	for {
		line, err := readLine(r, MaxLine)
		if err != nil {
			return nil, unexpected(err)
		}
		size, _, _ := strings.Cut(string(line), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
		if err != nil {
			return nil, &Error{400, "bad chunk size"}
		}
		if n > uint64(maxBody-len(body)) {
			return nil, &Error{413, "body too large"}
		}
		if n == 0 {
			_, err := readHeader(r) // trailers, dropped
			return body, err
		}
		from := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(r, body[from:]); err != nil {
			return nil, unexpected(err)
		}
		if line, err := readLine(r, 2); err != nil || len(line) != 0 {
			return nil, &Error{400, "bad chunk end"}
		}
	}
}

func readHeader(r *bufio.Reader) (Header, error) {
	var h Header
	for total := 0; ; {
		line, err := readLine(r, MaxLine)
		if err != nil {
			return nil, unexpected(err)
		}
		if len(line) == 0 {
			return h, nil
		}
		if total += len(line); total > MaxHeader {
			return nil, &Error{431, "header too large"}
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(string(name)) {
			return nil, &Error{400, "malformed header"}
		}
		h = append(h, Field{strings.ToLower(string(name)), string(bytes.Trim(value, " \t"))})
	}
}

// readLine returns the next line without its end. The slice holds until the
// next read.
func readLine(r *bufio.Reader, maxLine int) ([]byte, error) {
	var long []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(long)+len(part) > maxLine+2 {
			return nil, &Error{431, "line too long"}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, part...)
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(long)+len(part) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if long != nil {
			part = append(long, part...)
		}
		return bytes.TrimSuffix(part[:len(part)-1], []byte("\r")), nil
	}
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func isToken(s string) bool {
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return s != ""
}

var reasons = map[int]string{200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 410: "Gone", 413: "Content Too Large",
	421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable"}

// AppendResponse writes a response. Its body is JSON unless the header has a
// content type.
func AppendResponse(b []byte, p *Response) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(p.Status), 10)
	b = append(b, ' ')
	b = append(b, reasons[p.Status]...)
	b = append(b, "\r\n"...)
	return appendRest(b, p.Header, p.Body, p.Close, true)
}

// AppendRequest writes a request.
func AppendRequest(b []byte, q *Request) []byte {
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.Path...)
	if q.Query != "" {
		b = append(b, '?')
		b = append(b, q.Query...)
	}
	b = append(b, " HTTP/1.1\r\n"...)
	return appendRest(b, q.Header, q.Body, q.Close, len(q.Body) > 0 || q.Method == "POST")
}

func appendRest(b []byte, h Header, body []byte, closing, framed bool) []byte {
	typed := false
	for _, f := range h {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
		typed = typed || f.Name == "content-type"
	}
	if closing {
		b = append(b, "connection: close\r\n"...)
	}
	if framed {
		if len(body) > 0 && !typed {
			b = append(b, "content-type: application/json\r\n"...)
		}
		b = append(b, "content-length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}
