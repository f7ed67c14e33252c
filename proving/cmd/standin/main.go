package main

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/proving/platform"
)

func main() {
	app := kingpin.New("standin", "Runs a stand-in for the platform in tests.")
	listen := app.Flag("listen", "Address to listen on.").Required().String()
	store := app.Command("store", "The key-value service.")
	vms := app.Command("vms", "The list of VMs.")
	work := app.Command("worker", "A worker with its endpoints.")
	instance := work.Flag("instance", "Name of the VM instance.").Required().String()
	processors := work.Flag("processors", "Processors.").Default("30").Int64()
	memory := work.Flag("memory", "MiB of memory.").Default("125000").Int64()
	accelerators := work.Flag("accelerators", "Accelerators.").Default("0").Int64()
	runtime := work.Flag("runtime", "How long a batch task takes.").Default("2s").Duration()
	service := work.Flag("service", "How long a request takes.").Default("2ms").Duration()
	host := work.Flag("endpoint-host", "IP address of the endpoints.").Default("127.0.0.1").String()

	var handler fasthttp.RequestHandler
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case store.FullCommand():
		handler = platform.NewStore().Handle
	case vms.FullCommand():
		handler = platform.NewVMs().Handle
	case work.FullCommand():
		handler = platform.NewWorker(platform.WorkerConfig{
			Instance: *instance, Capacity: resource.New(*processors*resource.MillisPerProcessor, *memory, *accelerators),
			Slots: 8, Connections: 64, EndpointHost: *host, Runtime: *runtime, Service: *service,
		}).Handle
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
	fmt.Printf("listening %s\n", listener.Addr())
	server := &fasthttp.Server{Handler: handler, IdleTimeout: time.Minute}
	if err := server.Serve(listener); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}
