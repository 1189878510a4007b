package config_test

import (
	"fmt"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/platform/logservice"
)

func ExampleStore_RecordsSince() {
	peer, s := config.New(0), config.New(0)
	_ = peer.Offer([]logservice.Record{
		{Offset: 1, Data: []byte(`{"id":"c1","ops":[{"setPool":{"name":"app","kind":"service","slots":4}}]}`)},
	})
	records, snapshot := peer.RecordsSince(s.Version().Number)
	_ = s.Offer(records)
	fmt.Println(len(records), snapshot == nil, s.Compare(peer.Version()))
	// Output: 1 true equal
}
