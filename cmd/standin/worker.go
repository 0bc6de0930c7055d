package main

import (
	"bytes"
	"context"
	"encoding/json"
	"log"
	"net/http"
	"time"

	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 4 * time.Second
)

// runWorker sends a machine's heartbeats to a controller until ctx ends or the machine is
// destroyed. A heartbeat without a response is not repeated: the next one follows.
func runWorker(ctx context.Context, m *emulator.Machine, controller string) {
	client := &http.Client{Timeout: heartbeatTimeout}
	for ctx.Err() == nil && !m.Gone() {
		time.Sleep(heartbeatInterval)
		heartbeat, begun := m.Heartbeat()
		if heartbeat == nil {
			continue
		}
		body, err := json.Marshal(heartbeat)
		if err != nil {
			log.Print(err)
			return
		}
		if response := report(ctx, client, controller, body); response != nil {
			m.Answer(begun, heartbeat.Epoch, response)
		}
	}
}

// report sends a heartbeat and returns the response, or nil if there is no usable one.
func report(ctx context.Context, client *http.Client, controller string, body []byte) *wire.HeartbeatResponse {
	url := "http://" + controller + "/v1/report"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = answer.Body.Close() }() // only read from
	var response wire.HeartbeatResponse
	if err := json.NewDecoder(answer.Body).Decode(&response); err != nil || answer.StatusCode != http.StatusOK {
		return nil
	}
	return &response
}
