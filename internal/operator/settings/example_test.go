package settings_test

import (
	"fmt"

	"github.com/damaskport/damaskport/internal/operator/settings"
)

func ExampleParse() {
	_, err := settings.Parse("m1.json", []byte(`{
  "role": "sidecar", "name": "m1", "zone": "a",
  "platform": {"logUrl": "127.0.0.1:7000"}, // the scheme is missing
  "sidecar": {"controlAddr": "127.0.0.1:0", "dataAddr": "127.0.0.1:0", "pool": "chat", "serverUrl": "http://127.0.0.1:8000", "slot": 8},
}`))
	fmt.Println(err)
	// Output:
	// m1.json:3: platform.logUrl: "127.0.0.1:7000": must be an absolute URL such as "http://10.0.0.1:7000", without user, query or fragment
	// m1.json:4: sidecar.slot: is no known field; known here: adminAddr, answerTimeoutMs, checksFencing, controlAddr, dataAddr, drainMs, pool, progressTimeoutMs, serverUrl, slots
	// m1.json:4: sidecar.slots: 0: must be from 1 to 4096
}
