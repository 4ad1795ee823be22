// Package quota shares the quota of each organisation among all instances.
//
// A token bucket for each organisation lies in the memory of one instance, its
// home. Any other instance asks the home for each request, and is given some
// credit ahead while there is plenty, by what its callers asked for of late.
// All credit that exists, in the bucket and given out, is bounded by the
// bucket's depth, and comes at the organisation's rate only: whatever dies,
// freezes or is cut off, no window sees more than its rate for the window and
// one depth. A home that starts anew begins with an empty bucket, since it
// cannot know what the one before it gave out.
package quota
