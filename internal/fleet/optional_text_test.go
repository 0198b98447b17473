package fleet

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"drumpick/internal/jsoncodec"
)

// addedFields are the fields that this project has added to messages of the protocol, in both directions:
// the version of a worker, in its heartbeats and its answers to direct commands. The messages of users, the
// cloud and the store have none.
var addedFields = []string{"version", "drumpick_version"}

// A field that this project has added is ignored if a sender means something else by its name: the status
// is read as without it. A number named "version" once made every controller reject every heartbeat.
func TestAddedFieldsNeverInvalidateHeartbeat(t *testing.T) {
	const status = `{"host":"m-1","addr":"a:1","rig":"g8","site":"a","loaners":true,"stint":1,"tick":8,"baton":4,"warning_s":null,` +
		`"shots":[{"shot":"j-1/0","try":2,"status":"running"}]%s}`
	var want Heartbeat
	if err := jsoncodec.Unmarshal(fmt.Appendf(nil, status, ""), &want); err != nil {
		t.Fatal(err)
	}
	long := `"` + strings.Repeat("v", maxOptionalTextBytes+1) + `"`
	for _, field := range addedFields {
		for _, value := range []string{`2`, `-1.5e9`, `true`, `null`, `[]`, `["1.0"]`, `{}`, `{"host":"m-2"}`, long} {
			for _, members := range []string{`,%[1]q:%[2]s`, `,%[1]q:%[2]s,%[1]q:%[2]s`, `,%[1]q:"1.0",%[1]q:%[2]s,"baton":4`} {
				text := fmt.Appendf(nil, status, fmt.Sprintf(members, field, value))
				var got Heartbeat
				err := jsoncodec.Unmarshal(text, &got)
				if err == nil {
					err = got.Validate()
				}
				if value == `null` {
					got.Version, got.EarlierVersion = "", "" // a null leaves an earlier member as it is
				}
				if err != nil || !reflect.DeepEqual(got, want) {
					t.Errorf("%.300s is read as %+v, %v, want %+v", text, got, err, want)
				}
			}
		}
	}
}

// The version is read under both names; the new one counts if both are there.
func TestWorkerVersionIsReadUnderBothNames(t *testing.T) {
	for members, want := range map[string]string{
		`"version":"1.0"`: "1.0", `"drumpick_version":"2.0"`: "2.0", `"version":"1.0","drumpick_version":"2.0"`: "2.0",
		`"version":"1.0","drumpick_version":2`: "1.0", `"version":7`: "",
	} {
		var h Heartbeat
		if err := jsoncodec.Unmarshal([]byte(`{`+members+`}`), &h); err != nil || h.WorkerVersion() != want {
			t.Errorf("%s: version %q, %v, want %q", members, h.WorkerVersion(), err, want)
		}
	}
}
