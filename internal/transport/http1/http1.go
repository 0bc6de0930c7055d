// Package http1 implements the subset of HTTP/1.1 that maddermill needs: it parses and serializes requests
// and responses, with limits on the size of lines, headers and bodies.
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

// Limits on what a peer may send, in bytes.
const (
	MaxLine   = 8 << 10  // a request line or a header line
	MaxHeader = 32 << 10 // all header lines together
	MaxBody   = 64 << 10 // a request's body
)

// Error reports a malformed or oversized request or response. Status is the code that a server answers
// with. The connection must be closed afterwards, because the start of the next message is unknown.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http1: %s (%d)", e.Reason, e.Status) }

// Header is a list of header fields, names in lower case.
type Header []Field

// Field is one header field.
type Field struct{ Name, Value string }

// Get returns the first value of a field, or "" if there is none. The name must be in lower case.
func (h Header) Get(name string) string {
	for _, f := range h {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// hasToken reports whether a field contains a token in its comma-separated list. Case is ignored.
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

// Request is an HTTP request.
type Request struct {
	Method string
	Path   string // without the query
	Query  string
	Header Header
	Body   []byte
	Close  bool // the connection is closed after the response
}

// Response is an HTTP response.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool
}

// The supported protocol versions.
const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// ReadRequest reads one request. It returns io.EOF if the connection ends before the first byte. If proceed
// is not nil, it is called when the peer expects "100 Continue" before it sends the body.
func ReadRequest(r *bufio.Reader, proceed func() error) (*Request, error) {
	line, err := readLine(r, MaxLine)
	if err == nil && len(line) == 0 {
		line, err = readLine(r, MaxLine) // one empty line before the request is tolerated
	}
	if err != nil {
		return nil, err
	}
	req, version, err := parseRequestLine(string(line))
	if err != nil {
		return nil, err
	}
	if req.Header, err = readHeader(r); err != nil {
		return nil, err
	}
	req.Close = closesConnection(req.Header, version)
	framed, err := bodyFraming(req.Header)
	if err != nil {
		return nil, err
	}
	if framed.length > MaxBody {
		return nil, &Error{413, "body too large"}
	}
	if (framed.length > 0 || framed.chunked) && proceed != nil && req.Header.hasToken("expect", "100-continue") {
		if err := proceed(); err != nil {
			return nil, err
		}
	}
	req.Body, err = readBody(r, framed, MaxBody)
	return req, err
}

// parseRequestLine parses the method, target and protocol version.
func parseRequestLine(line string) (req *Request, version string, err error) {
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	if !hasTarget || !hasVersion || method == "" || !isToken(method) || !strings.HasPrefix(target, "/") ||
		strings.ContainsAny(target, " \t") {
		return nil, "", &Error{400, "malformed request line"}
	}
	if version != version11 && version != version10 {
		return nil, "", &Error{400, "unknown protocol version"}
	}
	req = &Request{Method: method}
	req.Path, req.Query, _ = strings.Cut(target, "?")
	return req, version, nil
}

// closesConnection reports whether the connection is to be closed after a message.
func closesConnection(h Header, version string) bool {
	return h.hasToken("connection", "close") || version == version10
}

// ReadResponse reads one response with a body of at most maxBody bytes. It skips interim (1xx) responses.
func ReadResponse(r *bufio.Reader, maxBody int) (*Response, error) {
	for {
		resp, version, err := readResponseHead(r)
		if err != nil {
			return nil, err
		}
		if resp.Status < 200 {
			continue
		}
		resp.Close = closesConnection(resp.Header, version)
		if resp.Status == 204 || resp.Status == 304 {
			return resp, nil
		}
		if err := readResponseBody(r, resp, maxBody); err != nil {
			return nil, err
		}
		return resp, nil
	}
}

// readResponseHead reads the status line and the header.
func readResponseHead(r *bufio.Reader) (resp *Response, version string, err error) {
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
	resp = &Response{Status: status}
	resp.Header, err = readHeader(r)
	return resp, version, err
}

// readResponseBody reads the body that follows a response's header. A body with neither a length nor chunks
// extends to the end of the connection.
func readResponseBody(r *bufio.Reader, resp *Response, maxBody int) error {
	framed, err := bodyFraming(resp.Header)
	if err != nil {
		return err
	}
	if !framed.chunked && !framed.hasLength {
		resp.Close = true
		resp.Body, err = io.ReadAll(io.LimitReader(r, int64(maxBody)+1))
		if err == nil && len(resp.Body) > maxBody {
			err = &Error{413, "body too large"}
		}
		return err
	}
	if framed.length > maxBody {
		return &Error{413, "body too large"}
	}
	resp.Body, err = readBody(r, framed, maxBody)
	return err
}

// framing describes how a message's body is delimited.
type framing struct {
	length    int // of the body, from Content-Length
	hasLength bool
	chunked   bool
}

// bodyFraming determines the framing of a message's body from its header.
func bodyFraming(h Header) (framing, error) {
	var f framing
	for _, field := range h {
		switch field.Name {
		case "content-length":
			n, err := strconv.ParseUint(field.Value, 10, 62)
			if err != nil || field.Value[0] == '+' {
				return f, &Error{400, "bad content length"}
			}
			if f.hasLength && f.length != int(n) {
				return f, &Error{400, "two content lengths"}
			}
			f.hasLength, f.length = true, int(n)
		case "transfer-encoding":
			if !strings.EqualFold(field.Value, "chunked") || f.chunked {
				return f, &Error{400, "unknown transfer encoding"}
			}
			f.chunked = true
		}
	}
	if f.hasLength && f.chunked {
		// Accepting both would allow request smuggling: a proxy may delimit the body by the other one.
		return f, &Error{400, "content length with transfer encoding"}
	}
	return f, nil
}

// readBody reads a body of at most maxBody bytes. The caller has checked the length from the header.
func readBody(r *bufio.Reader, f framing, maxBody int) ([]byte, error) {
	if !f.chunked {
		if f.length == 0 {
			return nil, nil
		}
		body := make([]byte, f.length)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, unexpectedEOF(err)
		}
		return body, nil
	}
	var body []byte
	for {
		line, err := readLine(r, MaxLine)
		if err != nil {
			return nil, unexpectedEOF(err)
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
			_, err := readHeader(r) // trailers are ignored
			return body, err
		}
		from := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(r, body[from:]); err != nil {
			return nil, unexpectedEOF(err)
		}
		if line, err := readLine(r, 2); err != nil || len(line) != 0 {
			return nil, &Error{400, "bad chunk end"}
		}
	}
}

// readHeader reads header fields up to and including the empty line after them.
func readHeader(r *bufio.Reader) (Header, error) {
	var h Header
	for total := 0; ; {
		line, err := readLine(r, MaxLine)
		if err != nil {
			return nil, unexpectedEOF(err)
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

// readLine returns the next line without its line ending. The slice is valid until the next read.
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

// unexpectedEOF turns io.EOF in the middle of a message into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// isToken reports whether s is a token as RFC 9110 defines it.
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

// reasonPhrases holds the reason phrases of the status codes that servers send.
var reasonPhrases = map[int]string{200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 410: "Gone", 413: "Content Too Large",
	421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable"}

// AppendResponse appends a serialized response to b. The content type is JSON unless the header has one.
func AppendResponse(b []byte, resp *Response) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(resp.Status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[resp.Status]...)
	b = append(b, "\r\n"...)
	return appendHeaderAndBody(b, resp.Header, resp.Body, resp.Close, true)
}

// AppendRequest appends a serialized request to b.
func AppendRequest(b []byte, req *Request) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.Path...)
	if req.Query != "" {
		b = append(b, '?')
		b = append(b, req.Query...)
	}
	b = append(b, " HTTP/1.1\r\n"...)
	return appendHeaderAndBody(b, req.Header, req.Body, req.Close, len(req.Body) > 0 || req.Method == "POST")
}

// appendHeaderAndBody appends the header fields and the body. framed adds Content-Length, and the content
// type JSON if there is a body and the header has no type.
func appendHeaderAndBody(b []byte, h Header, body []byte, closing, framed bool) []byte {
	hasType := false
	for _, f := range h {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
		hasType = hasType || f.Name == "content-type"
	}
	if closing {
		b = append(b, "connection: close\r\n"...)
	}
	if framed {
		if len(body) > 0 && !hasType {
			b = append(b, "content-type: application/json\r\n"...)
		}
		b = append(b, "content-length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}
