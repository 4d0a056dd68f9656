// Package pwrpc holds the messages and services that the processes of one deployment
// use among each other, and helpers that carry verdicts over Connect. The messages and
// services are generated from proto/pomeloweir.proto and committed, so that a build
// needs no generator.
//
// # Usage
//
//	client := pwrpc.NewAgentServiceClient(httpClient, "http://127.0.0.1:7101")
//	stream, err := client.Execute(ctx, connect.NewRequest(&pwrpc.ExecuteRequest{
//		RequestId: "req-1",
//	}))
//
// Regenerate with .ci/generate after a change of the .proto file.
package pwrpc
