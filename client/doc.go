// Package client is the Go client of pathbend for callers and trainers.
//
// A Client knows several nodes of a cluster and retries only where that is safe: a request
// that was not run is sent to another node; one whose outcome is unknown is repeated only if
// it may run twice or carries an idempotency key, under which the service runs it at most
// once.
//
//	c := client.New(client.Options{Addresses: addresses, Tenant: "teranga"})
//	response, err := c.Call(ctx, client.Request{Route: "authorise", Body: body, IdempotencyKey: key})
//
// A trainer starts a job with Client.Submit and calls Job.Next until it returns io.EOF.
package client
