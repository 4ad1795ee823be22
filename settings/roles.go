package settings

import (
	"time"

	"github.com/wagtaildrum/wagtaildrum/admission"
	"github.com/wagtaildrum/wagtaildrum/routing"
)

// Common holds the required keys that all long-running processes share.
type Common struct {
	InstanceID string `toml:"instance_id"`
	DataCentre string `toml:"data_centre"`
	// Debug is the HTTP address, host:port, of the metrics and the state dump.
	Debug string `toml:"debug"`
	// MemoryMB is the memory limit of the process, in MB; 0 means DefaultMemoryMB. What
	// clients can make the process hold is bounded by shares of it.
	MemoryMB int `toml:"memory_mb"`
}

// DefaultMemoryMB is the default of Common.MemoryMB.
const DefaultMemoryMB = 256

// minMemoryMB is the least memory in which a process can serve a request of maximum size.
const minMemoryMB = 128

// Memory returns the memory limit of the process, in bytes.
func (s *Common) Memory() int64 { return int64(s.MemoryMB) << 20 }

// check records the faults of the common keys.
func (s *Common) check(c *Checker) {
	if s.MemoryMB == 0 {
		s.MemoryMB = DefaultMemoryMB
	}
	c.AtLeast("memory_mb", s.MemoryMB, minMemoryMB)
	c.Required("instance_id", s.InstanceID)
	c.Required("data_centre", s.DataCentre)
	c.HostPort("debug", s.Debug)
}

// Entry holds the settings of an entry instance. Durations are TOML strings such
// as "10s", here and in the other types.
type Entry struct {
	Common
	// Listen is the HTTP address, host:port, on which callers are served.
	Listen string `toml:"listen"`
	// PeerListen is the QUIC address, host:port, to which other entry instances
	// forward requests of programs that this instance owns.
	PeerListen string `toml:"peer_listen"`
	// Platform is the base URL of the platform's table service.
	Platform string `toml:"platform"`
	// LeaseTTL is the time after which the lease of a program expires unless it
	// is renewed.
	LeaseTTL time.Duration `toml:"lease_ttl"`
	// ConfigPoll is the interval at which the configuration is read from the
	// platform.
	ConfigPoll time.Duration `toml:"config_poll"`
	// CallTimeout is the timeout of one call to an endpoint.
	CallTimeout time.Duration `toml:"call_timeout"`
	// DrainTimeout is the maximum time that a planned stop waits for calls in
	// flight.
	DrainTimeout time.Duration `toml:"drain_timeout"`
	// JournalInterval is the minimum time between two writes of turns to the
	// store; 0 means DefaultJournalInterval.
	JournalInterval time.Duration `toml:"journal_interval"`
	// Routing is the name of the routing policy, one of routing.PolicyNames;
	// empty means affinity.
	Routing string `toml:"routing"`
	// PrefillRate is the number of prompt tokens that an engine processes per
	// second. The affinity policy weighs cached prefixes against load with it.
	// 0 means DefaultPrefillRate.
	PrefillRate int `toml:"prefill_rate"`
	// BlockTokens is the block size, in tokens, of the engines' prefix caches;
	// 0 means DefaultBlockTokens.
	BlockTokens int `toml:"block_tokens"`
}

// Defaults of the optional keys of Entry.
const (
	DefaultPrefillRate = 100_000
	DefaultBlockTokens = 16
	// DefaultJournalInterval allows 50 writes a second, and as many
	// deletions: a dozen entry instances within a store's several hundred.
	DefaultJournalInterval = 20 * time.Millisecond
)

// Check implements Validator. It sets the defaults of optional keys.
func (s *Entry) Check(c *Checker) {
	s.check(c)
	c.HostPort("listen", s.Listen)
	c.HostPort("peer_listen", s.PeerListen)
	c.URL("platform", s.Platform)
	c.Positive("lease_ttl", s.LeaseTTL)
	c.Positive("config_poll", s.ConfigPoll)
	c.Positive("call_timeout", s.CallTimeout)
	c.Positive("drain_timeout", s.DrainTimeout)
	if s.JournalInterval == 0 {
		s.JournalInterval = DefaultJournalInterval
	}
	c.Positive("journal_interval", s.JournalInterval)
	if s.Routing == "" {
		s.Routing = routing.NameAffinity
	}
	c.OneOf("routing", s.Routing, routing.PolicyNames...)
	c.AtLeast("prefill_rate", s.PrefillRate, 0)
	if s.PrefillRate == 0 {
		s.PrefillRate = DefaultPrefillRate
	}
	c.AtLeast("block_tokens", s.BlockTokens, 0)
	if s.BlockTokens == 0 {
		s.BlockTokens = DefaultBlockTokens
	}
}

// Sidecar holds the settings of a sidecar, the process that admits calls to one
// endpoint.
type Sidecar struct {
	Common
	// Listen is the QUIC address, host:port, to which entry instances connect.
	Listen string `toml:"listen"`
	// Endpoint is the base URL of the engine or tool service.
	Endpoint string `toml:"endpoint"`
	// Role is the kind of the endpoint: "engine" or "tool".
	Role string `toml:"role"`
	// Platform is the base URL of the platform, in whose instance list the
	// sidecar marks itself live at start and leaving when it drains.
	Platform string `toml:"platform"`
	// DrainTimeout is the maximum time that a planned stop waits for calls in
	// flight.
	DrainTimeout time.Duration `toml:"drain_timeout"`
	// MaxConcurrent is the maximum number of calls that run on the endpoint at
	// once. Further calls wait in the sidecar's queue, most urgent first.
	MaxConcurrent int `toml:"max_concurrent"`
	// MaxQueued is the maximum number of waiting calls. Further calls are
	// rejected at once with the time after which to retry.
	MaxQueued int `toml:"max_queued"`
	// UrgentOnly is the number of the MaxConcurrent slots that are reserved for
	// urgent calls.
	UrgentOnly int `toml:"urgent_only"`
	// Order is the name of the order of waiting calls within an urgency class,
	// one of admission.OrderNames; empty means oldest_program.
	Order string `toml:"order"`
}

// Check implements Validator. It sets the defaults of optional keys.
func (s *Sidecar) Check(c *Checker) {
	s.check(c)
	c.HostPort("listen", s.Listen)
	c.URL("endpoint", s.Endpoint)
	c.OneOf("role", s.Role, "engine", "tool")
	c.URL("platform", s.Platform)
	c.Positive("drain_timeout", s.DrainTimeout)
	c.AtLeast("max_concurrent", s.MaxConcurrent, 1)
	c.AtLeast("max_queued", s.MaxQueued, 0)
	c.AtLeast("urgent_only", s.UrgentOnly, 0)
	c.AtLeast("max_concurrent", s.MaxConcurrent, s.UrgentOnly+1)
	if s.Order == "" {
		s.Order = admission.NameOldestProgram
	}
	c.OneOf("order", s.Order, admission.OrderNames...)
}

// Ctl holds the settings of the operator's commands.
type Ctl struct {
	// Platform is the base URL of the platform's table service.
	Platform string `toml:"platform"`
}

// Check implements Validator.
func (s *Ctl) Check(c *Checker) { c.URL("platform", s.Platform) }

// Engine holds the settings of the engine stand-in.
type Engine struct {
	Common
	// Listen is the HTTP address, host:port, on which requests are served.
	Listen string `toml:"listen"`
	// Model is the name of the model that the engine serves.
	Model string `toml:"model"`
	// Step is the duration of one step of an empty batch.
	Step time.Duration `toml:"step"`
	// StepPerSequence is added to Step for each sequence in the batch.
	StepPerSequence time.Duration `toml:"step_per_sequence"`
	// PrefillTokens is the maximum number of prompt tokens processed in one
	// step; 0 means no limit.
	PrefillTokens int `toml:"prefill_tokens"`
	// MaxBatch is the maximum number of sequences in the batch.
	MaxBatch int `toml:"max_batch"`
	// CacheBlocks is the size of the prefix cache, in blocks of BlockTokens.
	CacheBlocks int `toml:"cache_blocks"`
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens int `toml:"block_tokens"`
	// ReportLag is the delay before load and cache events are published.
	ReportLag time.Duration `toml:"report_lag"`
	// EventLossPercent is the percentage of cache events that are lost.
	EventLossPercent int `toml:"event_loss_percent"`
}

// Check implements Validator.
func (s *Engine) Check(c *Checker) {
	s.check(c)
	c.HostPort("listen", s.Listen)
	c.Required("model", s.Model)
	c.Positive("step", s.Step)
	c.AtLeast("max_batch", s.MaxBatch, 1)
	c.AtLeast("cache_blocks", s.CacheBlocks, 1)
	c.AtLeast("block_tokens", s.BlockTokens, 1)
	c.Positive("report_lag", s.ReportLag)
	c.AtLeast("prefill_tokens", s.PrefillTokens, 0)
	c.AtLeast("event_loss_percent", s.EventLossPercent, 0)
}

// Tool holds the settings of the tool stand-in.
type Tool struct {
	Common
	// Listen is the HTTP address, host:port, on which requests are served.
	Listen string `toml:"listen"`
	// Hang lists the tools whose calls get no response until the caller cancels
	// them.
	Hang []string `toml:"hang"`
	// Work is the duration of a call.
	Work time.Duration `toml:"work"`
}

// Check implements Validator.
func (s *Tool) Check(c *Checker) {
	s.check(c)
	c.HostPort("listen", s.Listen)
}

// Platform holds the settings of the platform stand-in.
type Platform struct {
	Common
	// Listen is the HTTP address, host:port, on which requests are served.
	Listen string `toml:"listen"`
	// InstanceLag is the delay after which a change of an instance appears in
	// the instance list.
	InstanceLag time.Duration `toml:"instance_lag"`
	// WritesPerSecond and ReadsPerSecond are the maximum rates of accepted
	// requests; 0 means no limit.
	WritesPerSecond int `toml:"writes_per_second"`
	ReadsPerSecond  int `toml:"reads_per_second"`
	// TableTime and ObjectTime are the durations of a request to the table
	// service and to the object service.
	TableTime  time.Duration `toml:"table_time"`
	ObjectTime time.Duration `toml:"object_time"`
}

// Check implements Validator.
func (s *Platform) Check(c *Checker) {
	s.check(c)
	c.HostPort("listen", s.Listen)
	c.Positive("instance_lag", s.InstanceLag)
}
