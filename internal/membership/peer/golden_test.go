package peer

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"maddermill/internal/testing/golden"
)

// TestSerializedFormsStay: a status is byte for byte what the sources before the renaming of 2026
// sent to peers (CBOR) and published in the state service (JSON).
func TestSerializedFormsStay(t *testing.T) {
	status := golden.Fill[Status]()
	frame, err := cbor.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "status.cbor", frame)
	published, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "status.json", published)
}
