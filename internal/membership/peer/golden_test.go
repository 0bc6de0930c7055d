package peer

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"maddermill/internal/testing/golden"
)

// TestSerializedFormsStay checks that a status is encoded byte for byte as in the versions before the
// identifiers were renamed in 2026, both for peers (CBOR) and for the state service (JSON).
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
