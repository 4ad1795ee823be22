//go:build review

package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// callerTimeout is the deadline of callers.
const callerTimeout = 3 * time.Second

// client opens a connection for each request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// answer is what a caller got. The status is 0 if there was no whole answer.
type answer struct {
	status int
	body   []byte
	err    error
}

// send sends one request to an instance and reads the answer.
func send(address, host, path string, header map[string]string, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("X-Deadline-Ms", "3000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }() // read to its end below
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, body: data}
}

// describe returns the beginning of the answer, or why there is none.
func (a answer) describe() string {
	const most = 60
	if a.err != nil {
		return a.err.Error()
	}
	return strconv.Quote(string(a.body[:min(len(a.body), most)]))
}
