// Package client is the Go client of pathbend for callers and trainers.
//
// It knows several nodes and applies the retry rules that are safe: a request
// that was not run is sent to another node; one whose outcome is unknown is
// repeated only if it may run twice, or under its idempotency key, which the
// service runs at most once.
//
//	c := client.New(client.Options{Addresses: addresses, Tenant: "teranga"})
//	response, err := c.Call(ctx, client.Request{Route: "authorise", Body: body, IdempotencyKey: key})
//
// A trainer submits a Job and calls Next until it returns io.EOF.
package client
