package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

// launch is a frame that starts instance 3 with the given settings.
func launch(params string) []byte {
	b := binary.LittleEndian.AppendUint32(nil, 3)
	b = binary.LittleEndian.AppendUint64(b, 42)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(params)))
	b = append(b, params...)
	head := binary.LittleEndian.AppendUint32(nil, 1)
	head = binary.LittleEndian.AppendUint32(head, uint32(16+6+len(b)))
	head = binary.LittleEndian.AppendUint64(head, 0)
	head = binary.LittleEndian.AppendUint16(head, 10)
	head = binary.LittleEndian.AppendUint32(head, uint32(len(b)))
	return append(head, b...)
}

const params = `{"Balancers": 1, "Index": 0, "MyZone": 0,
 "Classes": [{"Aim": 200, "Deadline": 5000, "Effect": "pure", "Points": 1}], "Limits": {"TryLimit": 3},
 "Rules": {"DrainGrace": 500, "OverloadFactor": 4, "OverloadFor": 1500, "StartCapacity": 0.3, "WarmUp": 8000}}`

func TestRun(t *testing.T) {
	empty := []byte{0, 0, 0, 0, 16, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}
	for _, c := range []struct {
		name    string
		in      []byte
		replies int
		want    string // part of the error
	}{
		{"end at once", nil, 0, ""},
		{"end between frames", append(append([]byte{}, empty...), launch(params)...), 2, ""},
		{"cut", append(append([]byte{}, empty...), empty[:9]...), 1, "frame 1: frame header"},
		{"settings", launch(strings.Replace(params, `"MyZone": 0,`, "", 1)), 0, "frame 0: record 0 (code 10): settings: key MyZone"},
		{"senseless", launch(strings.Replace(params, `"TryLimit": 3`, `"TryLimit": 0`, 1)), 0, "MaxAttempts"},
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(c.in), &out)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: error %v, want %q", c.name, err, c.want)
		}
		if out.Len() != 8*c.replies {
			t.Errorf("%s: %d bytes of replies, want %d empty ones", c.name, out.Len(), c.replies)
		}
	}
}
