package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

func TestReadRequest(t *testing.T) {
	long := strings.Repeat("x", MaxLine+10)
	for _, tc := range []struct {
		in     string
		status int // of the expected error; 0: accepted
		body   string
	}{
		{"GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n", 0, ""},
		{"\r\nGET / HTTP/1.1\r\n\r\n", 0, ""},
		{"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 0, "abc"},
		{"POST /a HTTP/1.1\nContent-Length: 3\n\nabc", 0, "abc"},
		{"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n", 0, "abc"},
		{"GET / HTTP/2\r\n\r\n", 400, ""},
		{"GET\r\n\r\n", 400, ""},
		{"GET nopath HTTP/1.1\r\n\r\n", 400, ""},
		{"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, ""},
		{"GET / HTTP/1.1\r\nbad name : x\r\n\r\n", 400, ""},
		{"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400, ""},
		{"POST / HTTP/1.1\r\nContent-Length: 1e3\r\n\r\n", 400, ""},
		{"POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", 400, ""},
		{"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, ""},
		{"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 400, ""},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, ""},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n", 413, ""},
		{"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413, ""},
		{"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 400, ""},
		{"GET /" + long + " HTTP/1.1\r\n\r\n", 431, ""},
		{"GET / HTTP/1.1\r\nA: " + long + "\r\n\r\n", 431, ""},
		{"GET / HTTP/1.1\r\n" + strings.Repeat("A: "+strings.Repeat("y", 4000)+"\r\n", 10) + "\r\n", 431, ""},
	} {
		req, err := ReadRequest(bufio.NewReaderSize(strings.NewReader(tc.in), 64), nil)
		var parseErr *Error
		switch {
		case tc.status == 0 && err != nil:
			t.Errorf("%.60q: %v", tc.in, err)
		case tc.status == 0 && string(req.Body) != tc.body:
			t.Errorf("%.60q: body %q", tc.in, req.Body)
		case tc.status != 0 && (!errors.As(err, &parseErr) || parseErr.Status != tc.status):
			t.Errorf("%.60q: %v, want %d", tc.in, err, tc.status)
		}
	}
	for _, part := range []string{"GET / HT", "GET / HTTP/1.1\r\nA", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"} {
		if _, err := ReadRequest(bufio.NewReader(strings.NewReader(part)), nil); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: %v", part, err)
		}
	}
}

func TestReadResponse(t *testing.T) {
	for in, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                                   "ok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                      "ok",
		"HTTP/1.1 200 OK\r\n\r\nuntil the end":                                                             "until the end",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\nTrailer: x\r\n\r\n": "ok",
	} {
		resp, err := ReadResponse(bufio.NewReader(strings.NewReader(in)), 100)
		if err != nil || string(resp.Body) != want {
			t.Errorf("%q: %v, %v", in, resp, err)
		}
	}
	for _, in := range []string{"", "HTTP/1.1\r\n\r\n", "SSH-2.0\r\n\r\n", "HTTP/1.1 99 x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"} {
		if resp, err := ReadResponse(bufio.NewReader(strings.NewReader(in)), 100); err == nil {
			t.Errorf("%q: accepted as %v, want an error", in, resp)
		}
	}
}

// FuzzRequest checks that an accepted request is unchanged after it is serialized and parsed again.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /a?b=c HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.0\r\nConnection: close\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		req, err := ReadRequest(bufio.NewReaderSize(bytes.NewReader(in), 64), nil)
		if err != nil {
			return
		}
		rebuilt := &Request{Method: req.Method, Path: req.Path, Query: req.Query, Body: req.Body}
		got, err := ReadRequest(bufio.NewReader(bytes.NewReader(AppendRequest(nil, rebuilt))), nil)
		if err != nil {
			t.Fatalf("%q is rejected after serialization: %v", in, err)
		}
		if got.Method != req.Method || got.Path != req.Path || got.Query != req.Query || !bytes.Equal(got.Body, req.Body) {
			t.Fatalf("%v became %v", req, got)
		}
	})
}

func TestResponseRoundTrip(t *testing.T) {
	want := &Response{Status: 503, Header: Header{{"retry-after", "2"}}, Body: []byte(`{"error":"x"}`), Close: true}
	got, err := ReadResponse(bufio.NewReader(bytes.NewReader(AppendResponse(nil, want))), 100)
	if err != nil {
		t.Fatal(err)
	}
	if got.Status != want.Status || !got.Close || got.Header.Get("retry-after") != "2" ||
		!reflect.DeepEqual(got.Body, want.Body) {
		t.Errorf("got %+v", got)
	}
}
