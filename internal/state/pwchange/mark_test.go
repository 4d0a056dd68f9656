package pwchange

import "testing"

// Guards against a mark that is passed over, so that its target stays in service, because
// one of its fields cannot be read.
func TestUnreadableMarkIsInForce(t *testing.T) {
	for value, out := range map[string]bool{
		`{"out":true,"reason":"power"}`:   true,
		`{"out":false,"reason":"power"}`:  false,
		`{"out":true,"at_unix_ms":1.5}`:   true,
		`{"out":true,"at_unix_ms":1e999}`: true,
		`{"out":true,"author":"team"}`:    true,
		`{"out":false,"author":"team"}`:   false,
		`{"author":"team","out":true}`:    true,
		`{"out":"yes"}`:                   true,
		`{"out":null}`:                    true,
		`{}`:                              true,
		`[]`:                              true,
		`null`:                            true,
		`{"out":false`:                    true,
		"":                                false, // a deleted mark
		`{"out":true,"later_field":{"a":[1,2,{}]}}`: true,
	} {
		target, name, m, ok := MarkInForce(Change{
			Key:   MarkKey(TargetDataCentre, "hakata"),
			Value: []byte(value),
		})
		if !ok || target != TargetDataCentre || name != "hakata" || m.OutOfService != out {
			t.Errorf("%q marks %s %q, out of service is %t (%t), want %t", value, target, name, m.OutOfService, ok, out)
		}
	}
	if _, _, _, ok := MarkInForce(Change{
		Key:   "service/lantern",
		Value: []byte(`{"out":true}`),
	}); ok {
		t.Error("a document counts as a mark")
	}
}
