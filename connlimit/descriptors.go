package connlimit

import (
	"math"

	"golang.org/x/sys/unix"
)

// reservedDescriptors is the number of descriptors left for files.
const reservedDescriptors = 200

// Descriptors returns how many sockets the process may open: limit, or that of the kernel if this
// is lower or limit is 0, less some for files.
func Descriptors(limit int) int {
	var kernel unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &kernel); err == nil && kernel.Cur < math.MaxInt32 && (limit <= 0 || int(kernel.Cur) < limit) {
		limit = int(kernel.Cur)
	}
	if limit <= 0 {
		limit = defaultDescriptors
	}
	return max(limit-reservedDescriptors, minDescriptors)
}

const (
	// defaultDescriptors is the limit on descriptors if neither the kernel nor a setting
	// has one.
	defaultDescriptors = 1 << 16
	// minDescriptors is the least number of sockets that Descriptors returns.
	minDescriptors = 64
)
