package alloc

import (
	"os"
	"testing"

	"lagooncourse/internal/base/seeds"
)

func TestMain(m *testing.M) { os.Exit(seeds.Run(m)) }
