package watermark

import (
	"testing"

	"drumpick/internal/goldentest"
)

// The record of when the watermarks were last complete keeps its form in the store.
func TestGoldenStoredAttestation(t *testing.T) {
	goldentest.Run(t, "golden-records.json", goldentest.JSON, []goldentest.Case{
		{Name: "whole marks", Value: StoredAttestation{Term: 41, Node: "n-2", AtMS: 946684802000}},
	})
}
