//go:build deps

package lhcode

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/go-kit/kit/endpoint"
	_ "github.com/go-kit/kit/transport/http"
	_ "github.com/gopacket/gopacket/layers"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rs/zerolog"
	_ "github.com/spf13/cobra"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
