package timeline_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/damaskport/damaskport/internal/report/timeline"
)

const (
	entry = `time="2026-02-10T11:01:00.071Z" level=info config=2 event=placed instance=g1 request=r1 server=s1
time="2026-02-10T11:01:00.080Z" level=info event=placed instance=g1 request=r2 server=s1
time="2026-02-10T11:01:00.100Z" level=warning error="dial tcp: \"refused\"" event=sendEnded instance=g1 request=r1 reason=notSent
not a line
time="2026-02-10T11:01:01.000Z" level=warning event=logDropped lines=3
`
	other = `collector-7 time="2026-02-10T11:01:00.090Z" level=info event=offered instance=g2 request=r1
time="2026-02-10T11:01:00.105Z" level=info event=answered instance=g1 request=r1 status=200`
)

func Example() {
	t, err := timeline.Read("r1", strings.NewReader(entry), strings.NewReader(other))
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := t.WriteText(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	//        0 ms  g1             placed       config=2 server=s1
	//       19 ms  g2             offered
	//       29 ms  g1             sendEnded    error=dial tcp: "refused" reason=notSent
	//       34 ms  g1             answered     status=200
	// 4 steps in 7 lines; 1 unreadable, 3 not written
}

func FuzzRead(f *testing.F) {
	f.Add(entry)
	f.Add(`time="x event="` + "\n" + `time= event= request=r1 a="\`)
	f.Fuzz(func(t *testing.T, text string) {
		got, err := timeline.Read("r1", strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		if got.Unreadable > got.Lines {
			t.Fatalf("%d of %d lines are unreadable", got.Unreadable, got.Lines)
		}
	})
}
