package gateway

import (
	"context"

	"github.com/wagtaildrum/wagtaildrum/membership"
)

// OccupyWatches takes all places of watches of endpoints.
func (gateway *Gateway) OccupyWatches() {
	for {
		select {
		case gateway.background <- struct{}{}:
		default:
			return
		}
	}
}

// CheckHealth returns the result of a health check of the endpoint.
func (gateway *Gateway) CheckHealth(ctx context.Context, endpoint *membership.Endpoint) string {
	result, _ := gateway.checkHealth(ctx, endpoint)
	return result.String()
}
