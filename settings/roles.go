package settings

import (
	"time"

	"github.com/wagtaildrum/wagtaildrum/admission"
	"github.com/wagtaildrum/wagtaildrum/routing"
)

// Common holds the keys every process has.
type Common struct {
	InstanceID string `toml:"instance_id"`
	DataCentre string `toml:"data_centre"`
	Debug      string `toml:"debug"`
}

func (s *Common) check(c *Checker) {
	c.Required("instance_id", s.InstanceID)
	c.Required("data_centre", s.DataCentre)
	c.HostPort("debug", s.Debug)
}

// Entry is the settings of an entry instance. Durations are TOML strings
// such as "10s".
type Entry struct {
	Common
	// Listen is the callers' HTTP address, host:port.
	Listen string `toml:"listen"`
	// PeerListen is the QUIC address, host:port, on which other entry
	// instances forward requests for programs that this one owns.
	PeerListen string `toml:"peer_listen"`
	// Platform is the base URL of the platform's table service.
	Platform string `toml:"platform"`
	// LeaseTTL is how long a program lease lasts without renewal.
	LeaseTTL time.Duration `toml:"lease_ttl"`
	// ConfigPoll is how often the configuration is read from the platform.
	ConfigPoll time.Duration `toml:"config_poll"`
	// CallTimeout bounds one call to an endpoint.
	CallTimeout time.Duration `toml:"call_timeout"`
	// DrainTimeout bounds how long a planned stop waits for calls in
	// flight.
	DrainTimeout time.Duration `toml:"drain_timeout"`
	// JournalInterval is the shortest time between two writes of the
	// programs' turns to the store. 0: DefaultJournalInterval.
	JournalInterval time.Duration `toml:"journal_interval"`
	// Routing names the routing policy; affinity if empty.
	Routing string `toml:"routing"`
	// PrefillRate is how many prompt tokens a second an engine reads; the
	// affinity policy weighs cache against load with it. 0: DefaultPrefillRate.
	PrefillRate int `toml:"prefill_rate"`
	// BlockTokens is the block size of the engines' prefix caches. 0:
	// DefaultBlockTokens.
	BlockTokens int `toml:"block_tokens"`
}

// Defaults of the optional keys.
const (
	DefaultPrefillRate = 100_000
	DefaultBlockTokens = 16
	// DefaultJournalInterval allows 50 writes a second, and as many
	// deletions: a dozen entry instances within a store's several hundred.
	DefaultJournalInterval = 20 * time.Millisecond
)

// Check implements Validator.
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

// Sidecar is the settings of the process beside one endpoint.
type Sidecar struct {
	Common
	// Listen is the QUIC address peers dial, host:port.
	Listen string `toml:"listen"`
	// Endpoint is the base URL of the engine or tool service beside it.
	Endpoint string `toml:"endpoint"`
	// Role is "engine" or "tool".
	Role string `toml:"role"`
	// Platform is the base URL of the platform; the sidecar marks its
	// instance live there at start and leaving when it drains.
	Platform string `toml:"platform"`
	// DrainTimeout bounds how long a planned stop waits for calls in
	// flight.
	DrainTimeout time.Duration `toml:"drain_timeout"`
	// MaxConcurrent is how many calls run on the endpoint at once; more
	// wait in the sidecar's queue, most urgent first.
	MaxConcurrent int `toml:"max_concurrent"`
	// MaxQueued is how many calls may wait; beyond that calls are refused
	// at once with a time to come back.
	MaxQueued int `toml:"max_queued"`
	// UrgentOnly of the max_concurrent places are kept for urgent calls.
	UrgentOnly int `toml:"urgent_only"`
	// Order names the order of waiting calls within an urgency class;
	// oldest_program if empty.
	Order string `toml:"order"`
}

// Check implements Validator.
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

// Ctl is the settings of the operator's command.
type Ctl struct {
	// Platform is the base URL of the platform's table service.
	Platform string `toml:"platform"`
}

// Check implements Validator.
func (s *Ctl) Check(c *Checker) { c.URL("platform", s.Platform) }

// Engine is the settings of the engine stand-in.
type Engine struct {
	Common
	Listen string `toml:"listen"`
	// Model is the model the engine serves.
	Model string `toml:"model"`
	// Step is the time of one batch step.
	Step time.Duration `toml:"step"`
	// StepPerSequence is added to the step for each sequence in the batch.
	StepPerSequence time.Duration `toml:"step_per_sequence"`
	// PrefillTokens is how many prompt tokens one step reads; 0: no bound.
	PrefillTokens int `toml:"prefill_tokens"`
	// MaxBatch is how many sequences one step advances.
	MaxBatch int `toml:"max_batch"`
	// CacheBlocks is the prefix cache size, in blocks of BlockTokens.
	CacheBlocks int `toml:"cache_blocks"`
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens int `toml:"block_tokens"`
	// ReportLag is how late load and cache events are published.
	ReportLag time.Duration `toml:"report_lag"`
	// EventLossPercent is the share of cache events never published.
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

// Tool is the settings of the tool stand-in.
type Tool struct {
	Common
	Listen string `toml:"listen"`
	// Hang lists tools whose calls never answer until cancelled.
	Hang []string `toml:"hang"`
	// Work is how long a call takes.
	Work time.Duration `toml:"work"`
}

// Check implements Validator.
func (s *Tool) Check(c *Checker) {
	s.check(c)
	c.HostPort("listen", s.Listen)
}

// Platform is the settings of the platform stand-in.
type Platform struct {
	Common
	Listen string `toml:"listen"`
	// InstanceLag is how far the instance list lags behind the truth.
	InstanceLag time.Duration `toml:"instance_lag"`
	// WritesPerSecond and ReadsPerSecond bound the calls taken; 0: no bound.
	WritesPerSecond int `toml:"writes_per_second"`
	ReadsPerSecond  int `toml:"reads_per_second"`
	// TableTime and ObjectTime are how long a call to each service takes.
	TableTime  time.Duration `toml:"table_time"`
	ObjectTime time.Duration `toml:"object_time"`
}

// Check implements Validator.
func (s *Platform) Check(c *Checker) {
	s.check(c)
	c.HostPort("listen", s.Listen)
	c.Positive("instance_lag", s.InstanceLag)
}
