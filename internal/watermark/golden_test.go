package watermark

import (
	"testing"

	"drumpick/internal/goldentest"
)

// The stored attestation keeps its encoding in the store.
func TestGoldenStoredAttestation(t *testing.T) {
	goldentest.Run(t, "golden-records.json", goldentest.JSON, []goldentest.Case{
		{Name: "whole marks", Value: StoredAttestation{Term: 41, Node: "n-2", AtMS: 946684802000}},
	})
}
