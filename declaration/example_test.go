package declaration_test

import (
	"fmt"

	"hickorydrum/declaration"
)

func ExampleParse() {
	_, err := declaration.Parse(map[string][]byte{"regions.yaml": []byte("kind: region\nname: Catania\ndomains: [ct-1]\n")})
	fmt.Println(err)
	// Output:
	// regions.yaml:2: name "Catania" is not a name; use 1 to 64 lower-case letters, digits and hyphens
	// no region is declared; add a document of kind region
}
