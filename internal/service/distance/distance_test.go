package distance

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBetween(t *testing.T) {
	c := qt.New(t)
	zones := Map{"a1": "a", "a2": "a", "b1": "b"}
	for _, test := range []struct {
		zones Map
		a, b  string
		want  Distance
	}{
		{zones, "a1", "a1", SameZone},
		{zones, "a1", "a2", SameRegion},
		{zones, "a1", "b1", OtherRegion},
		{zones, "a1", "unknown", OtherRegion},
		{zones, "unknown", "other", OtherRegion},
		{zones, "unknown", "unknown", SameZone},
		{nil, "a1", "b1", SameRegion},
	} {
		c.Check(test.zones.Between(test.a, test.b), qt.Equals, test.want, qt.Commentf("%s to %s", test.a, test.b))
	}
}
