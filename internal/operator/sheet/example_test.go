package sheet_test

import (
	"fmt"

	"github.com/damaskport/damaskport/internal/operator/sheet"
)

func ExampleParse() {
	state, err := sheet.Parse("today.csv", []byte("kind,name,share,classes\naccount,jump,3,chat bulk\n"))
	fmt.Println(state.Accounts[0].Classes, err)

	_, err = sheet.Parse("today.csv", []byte("kind,name,share,classes\naccount,jump,three,chat bulk\n"))
	fmt.Println(err)
	// Output:
	// [chat bulk] <nil>
	// today.csv:2: column 3 (share): "three": must be a whole number
}
