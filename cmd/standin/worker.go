package main

import (
	"bytes"
	"context"
	"encoding/json"
	"log"
	"net/http"
	"time"

	"maddermill/internal/exactjson"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 4 * time.Second
)

// runWorker sends a machine's heartbeats to a controller until ctx is cancelled or the machine is
// destroyed. A failed heartbeat is not retried; the next one is sent after the usual interval.
func runWorker(ctx context.Context, m *emulator.Machine, controller string) {
	client := &http.Client{Timeout: heartbeatTimeout}
	for ctx.Err() == nil && !m.Gone() {
		time.Sleep(heartbeatInterval)
		heartbeat, startedAt := m.Heartbeat()
		if heartbeat == nil {
			continue
		}
		body, err := json.Marshal(heartbeat)
		if err != nil {
			log.Print(err)
			return
		}
		if response := sendHeartbeat(ctx, client, controller, body); response != nil {
			m.HandleResponse(startedAt, heartbeat.Epoch, response)
		}
	}
}

// sendHeartbeat posts a heartbeat and returns the response, or nil if the request failed or the response is
// invalid.
func sendHeartbeat(ctx context.Context, client *http.Client, controller string, body []byte) *wire.HeartbeatResponse {
	url := "http://" + controller + "/v1/report"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil
	}
	request.Header.Set("Content-Type", "application/json")
	httpResp, err := client.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = httpResp.Body.Close() }() // only read from
	var response wire.HeartbeatResponse
	if err := exactjson.Decode(httpResp.Body, &response); err != nil || httpResp.StatusCode != http.StatusOK {
		return nil
	}
	return &response
}
