package steering_test

import (
	"fmt"
	"time"

	"hickorydrum/declaration"
	"hickorydrum/steering"
)

func ExampleMoveTime() {
	step := declaration.NewStep(0.05, 10*time.Second)
	fmt.Println(steering.MoveTime(1, step))
	// Output: 3m10s
}
