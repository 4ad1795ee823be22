package gateway

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
