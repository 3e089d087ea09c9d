package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"hickorydrum/interval"
	"hickorydrum/response"
)

// waitFor polls until cond returns true. It fails after waitTimeout or when ctx is
// done.
func waitFor(ctx context.Context, what string, cond func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !cond() {
		if !interval.Sleep(ctx, pollInterval) {
			return fmt.Errorf("waited too long for %s", what)
		}
	}
	return nil
}

// controlClient calls the control and status endpoints of the processes.
var controlClient = response.NewClient(http.DefaultTransport, httpTimeout)

// getStatusCode returns the status code of a GET request, or 0 if there is no response.
func getStatusCode(ctx context.Context, url string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// getJSON decodes the JSON body of the response to a GET request into a value.
func getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

// post sends data as JSON in a POST request. A status of 300 or above is an error.
func post(ctx context.Context, url string, data []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := controlClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}
