//go:build depspin

// Package depspin keeps the module requirements in go.mod until every slice imports its own.
package depspin

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cockroachdb/errors"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/julienschmidt/httprouter"
	_ "github.com/openai/openai-go"
	_ "github.com/openai/openai-go/option"
	_ "github.com/sourcegraph/conc"
	_ "github.com/sourcegraph/conc/pool"
	_ "github.com/stretchr/testify/assert"
	_ "github.com/stretchr/testify/require"
	_ "github.com/tailscale/hujson"
	_ "go.etcd.io/bbolt"
	_ "go.uber.org/zap"
	_ "golang.org/x/sys/unix"
	_ "google.golang.org/protobuf/proto"
	_ "google.golang.org/protobuf/runtime/protoimpl"
	_ "pgregory.net/rapid"
	_ "storj.io/drpc"
	_ "storj.io/drpc/drpcconn"
	_ "storj.io/drpc/drpcmux"
	_ "storj.io/drpc/drpcpool"
	_ "storj.io/drpc/drpcserver"
)
