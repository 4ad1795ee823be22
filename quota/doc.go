// Package quota enforces the quota of each organisation across all instances.
//
// The token bucket of an organisation is held in memory by one instance, its
// home, which is chosen by rendezvous hashing. Other instances request credit
// from the home for each caller request. While the bucket is well filled, the
// home grants further credit ahead of use, according to their recent demand.
//
// All existing credit, in the bucket and granted ahead, is bounded by the depth
// of the bucket and refilled at the organisation's rate only. If instances
// crash, are suspended or partitioned, no window therefore sees more than its
// rate for the window plus one depth. A new home whose predecessor does not
// report starts with an empty bucket, since the credit granted is unknown.
package quota
